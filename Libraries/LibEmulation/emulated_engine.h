#pragma once

#include <cstdint>
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
  base::TimePoint end;
  double tokens_prefilled_again = 0;
};

// Simulates a model engine: it prefills prompts one after the other, streams
// events, and keeps the most recently used shared prompt parts in an LRU cache.
class EmulatedEngine {
 public:
  EmulatedEngine(forward::ListedEndpoint listed, const EnginePool& pool);

  const forward::ListedEndpoint& listed() const { return listed_; }

  // Schedules a request whose prompt ends with an unshared part.
  // `prefilled_parts` holds the shared parts that any engine has prefilled, and
  // gets those that are prefilled now. Call NoteEnded() when the request ends.
  EngineTimes Run(const forward::ForwardedRequest& request,
                  double events,
                  base::TimePoint inputs_ready,
                  std::set<std::string>& prefilled_parts);
  void NoteEnded() { --running_; }

 private:
  struct CachedPart {
    std::string id;
    double tokens = 0;
  };

  bool IsCached(const std::string& id);
  void AddToCache(const forward::PrefixPart& part);

  forward::ListedEndpoint listed_;
  EnginePool pool_;
  std::list<CachedPart> cache_;  // Most recently used first.
  std::map<std::string, std::list<CachedPart>::iterator> cache_by_id_;
  double cached_tokens_ = 0;
  base::TimePoint prefill_until_;
  uint32_t running_ = 0;
};

}  // namespace bilberry::emulation
