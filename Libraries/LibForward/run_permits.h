#pragma once

#include <map>
#include <optional>
#include <vector>

#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forwarded_run.h"
#include "LibForward/permit_coordinator.h"

namespace bilberry::forward {

// Requests permits for runs at rate-limited endpoints, and drops permits that
// can't be used any more.
class RunPermits {
 public:
  // All arguments must outlive this object.
  RunPermits(ForwardContext& context,
             PermitCoordinator& permits,
             EndpointChooser& chooser)
      : context_(context), permit_coordinator_(permits), chooser_(chooser) {}

  void Request(const RateLimitedEndpoint& endpoint,
               base::CallerId caller,
               ForwardedRun& run,
               base::TimePoint now);
  void Withdraw(const ForwardedRun& run);

  std::vector<PermitOutcome> TakeOutcomes() {
    return permit_coordinator_.TakeOutcomes();
  }
  // Removes the permit request and returns its caller; empty if it was
  // withdrawn.
  std::optional<base::CallerId> TakeCaller(PermitRequestId id);
  // Applies the outcome of the run's permit request.
  void Note(const PermitOutcome& outcome,
            ForwardedRun& run,
            base::TimePoint now);
  // Consumes the run's permit and returns its endpoint; empty if the run has no
  // permit that is valid now.
  std::optional<ListedEndpoint> Use(ForwardedRun& run, base::TimePoint now);

 private:
  ForwardContext& context_;
  PermitCoordinator& permit_coordinator_;
  EndpointChooser& chooser_;
  std::map<PermitRequestId, base::CallerId> callers_;
};

}  // namespace bilberry::forward
