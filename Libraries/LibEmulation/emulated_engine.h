#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>

#include "LibEmulation/load_scenario.h"
#include "LibEmulation/timeline.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/forwarded_request.h"

namespace bilberry::emulation {

// When an engine streams a request's first event and its last.
struct EngineTimes {
  base::TimePoint first_event;
  base::TimePoint end;  // If no prefill holds up the events.
  double tokens_prefilled_again = 0;
};

// Simulates a model engine: it prefills prompts one after the other, streams
// events, and keeps the most recently used shared prompt parts in an LRU cache.
class EmulatedEngine {
 public:
  EmulatedEngine(forward::ListedEndpoint listed,
                 const EnginePool& pool,
                 size_t index,
                 uint64_t seed);

  const forward::ListedEndpoint& listed() const { return listed_; }

  // Schedules a request whose prompt ends with an unshared part.
  // `prefilled_parts` holds the shared parts that any engine has prefilled, and
  // gets those that are prefilled now. Call NoteEnded() when the request ends.
  EngineTimes Run(const forward::ForwardedRequest& request,
                  double events,
                  base::TimePoint inputs_ready,
                  std::set<std::string>& prefilled_parts);
  void NoteEnded() { --running_; }
  base::Duration EventTimeAt(base::TimePoint now) const;
  // When a stream whose last event was at `last` has its next one, as far as
  // prefills are known.
  base::TimePoint NextEvent(base::TimePoint last,
                            base::Duration event_time) const;

 private:
  struct Prefill {
    base::TimePoint begins;
    base::TimePoint ends;
  };
  struct CachedPart {
    std::string id;
    double tokens = 0;
  };

  bool IsCached(const std::string& id);
  void AddToCache(const forward::PrefixPart& part);
  // Multiple of the time that work takes on an engine of speed 1.
  double PaceAt(base::TimePoint time) const;
  base::TimePoint EndOfWork(base::TimePoint begins, base::Duration work) const;
  // When a request that arrives at `time` has a slot.
  base::TimePoint SlotFreeFrom(base::TimePoint time);

  forward::ListedEndpoint listed_;
  EnginePool pool_;
  std::list<CachedPart> cache_;  // Most recently used first.
  std::map<std::string, std::list<CachedPart>::iterator> cache_by_id_;
  double cached_tokens_ = 0;
  size_t index_;
  uint64_t seed_;
  base::TimePoint prefill_until_;
  std::deque<Prefill> prefills_;         // Recent ones.
  std::multiset<base::TimePoint> ends_;  // Expected, of running requests.
  uint32_t running_ = 0;
};

}  // namespace bilberry::emulation
