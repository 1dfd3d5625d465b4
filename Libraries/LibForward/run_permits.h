#pragma once

#include <map>
#include <optional>
#include <vector>

#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forwarded_run.h"
#include "LibForward/permit_coordinator.h"

namespace bilberry::forward {

// The permits of runs for endpoints with a limit: asks for them, and gives them
// up when they are of no use any more.
class RunPermits {
 public:
  // All must outlive this.
  RunPermits(ForwardContext& context,
             PermitCoordinator& permits,
             EndpointChooser& chooser)
      : context_(context), permit_coordinator_(permits), chooser_(chooser) {}

  void Ask(const RateLimitedEndpoint& endpoint,
           base::CallerId caller,
           ForwardedRun& run,
           base::TimePoint now);
  void Withdraw(const ForwardedRun& run);

  std::vector<PermitOutcome> TakeOutcomes() {
    return permit_coordinator_.TakeOutcomes();
  }
  // Whose question it was; empty when it has been withdrawn.
  std::optional<base::CallerId> TakeCaller(PermitRequestId ask);
  // Takes on how the run's question ended.
  void Note(const PermitOutcome& outcome,
            ForwardedRun& run,
            base::TimePoint now);
  // Where the run may go with its permit, which it gives up; empty if it has
  // none that holds now.
  std::optional<ListedEndpoint> Use(ForwardedRun& run, base::TimePoint now);

 private:
  ForwardContext& context_;
  PermitCoordinator& permit_coordinator_;
  EndpointChooser& chooser_;
  std::map<PermitRequestId, base::CallerId> asks_;
};

}  // namespace bilberry::forward
