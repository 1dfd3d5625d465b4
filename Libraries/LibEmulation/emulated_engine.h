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

// When an engine is done with a request.
struct EngineTimes {
  base::TimePoint first_event;
  base::TimePoint end;
  double tokens_read_again = 0;
};

// An endpoint that reads prompts, one after the other, and streams events.
// It keeps the shared parts that it read last.
class EmulatedEngine {
 public:
  EmulatedEngine(forward::ListedEndpoint listed, const EnginePool& pool);

  const forward::ListedEndpoint& listed() const { return listed_; }

  // The request's last part is its own. `read_before` holds the shared parts
  // that any engine has read. Call NoteEnded() at the end.
  EngineTimes Run(const forward::ForwardedRequest& request,
                  double events,
                  base::TimePoint inputs_there,
                  std::set<std::string>& read_before);
  void NoteEnded() { --running_; }

 private:
  struct Kept {
    std::string id;
    double tokens = 0;
  };

  bool Keeps(const std::string& id);
  void Keep(const forward::PrefixPart& part);

  forward::ListedEndpoint listed_;
  EnginePool pool_;
  std::list<Kept> kept_;  // The one used last first.
  std::map<std::string, std::list<Kept>::iterator> kept_by_id_;
  double kept_tokens_ = 0;
  base::TimePoint reads_until_;
  uint32_t running_ = 0;
};

}  // namespace bilberry::emulation
