#pragma once

#include <cstdint>
#include <functional>

#include "LibBase/random.h"
#include "LibEmulation/emulated_callers.h"
#include "LibEmulation/emulated_crashes.h"
#include "LibEmulation/load_scenario.h"
#include "LibEmulation/timeline.h"

namespace bilberry::emulation {

// Sends the requests of a scenario that crash endpoints: some again and again,
// others of which no two are alike.
class DeadlyCallers {
 public:
  using Send = std::function<void(forward::ForwardedRequest)>;

  // The references must outlive this object.
  DeadlyCallers(Timeline& timeline,
                const LoadScenario& scenario,
                EmulatedCallers& callers,
                EmulatedCrashes& crashes)
      : timeline_(timeline),
        scenario_(scenario),
        callers_(callers),
        crashes_(crashes) {}

  // Starts the arrivals, which go on for as long as the scenario lasts.
  void Begin(Send send);

 private:
  void BeginRepeated(const CallerKind& kind);
  void SendRepeated(forward::ForwardedRequest request, uint32_t repeat);
  // `pattern` has the shared parts of the prompts, the deadly one among them.
  void SendNextWithPart(const CallerKind& kind,
                        const forward::ForwardedRequest& pattern);
  // A new request of the kind with the kind's deadly part.
  forward::ForwardedRequest DrawWithPart(const CallerKind& kind);
  void SetCaller(forward::ForwardedRequest& request);

  Timeline& timeline_;
  const LoadScenario& scenario_;
  EmulatedCallers& callers_;
  EmulatedCrashes& crashes_;
  Send send_;
  base::TimePoint begins_;
  uint64_t last_caller_ = 0;
  base::Random random_{1};  // Of arrival times.
};

}  // namespace bilberry::emulation
