#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "LibForward/endpoint_load.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/placement.h"
#include "LibForward/prefill_estimator.h"

namespace bilberry::forward {

// Decides at which endpoint of a placement domain a run is placed, from all
// runs that were placed there and what hosts have reported of them. Performs no
// I/O and reads no clock.
class PlacementScheduler {
 public:
  // The requests that one endpoint runs at once.
  void SetSlots(uint32_t slots) { slots_ = slots; }
  // Replaces the domain's endpoints. Runs at those that are gone are forgotten.
  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  // Chooses one of `candidates`, endpoints of the domain that accept requests,
  // and counts the run there.
  PlacementDecision Place(const PlacementRequest& request,
                          std::span<const base::EndpointName> candidates,
                          base::TimePoint now);
  void Apply(const RunReport& report, base::TimePoint now);

  // Expected time to the first event of the next average run.
  base::Duration ExpectedWait(base::TimePoint now) const;
  // One entry for each endpoint; `domain` is left empty.
  std::vector<EndpointPlacementStatus> Status(base::TimePoint now) const;

 private:
  struct PlacedAt {
    EndpointLoad* load = nullptr;
    base::TimePoint deadline;
  };

  void Add(EndpointLoad& load,
           const PlacementRun& run,
           const PlacementPrompt& prompt,
           base::TimePoint now);
  // Takes back the placement of a run, if there is one.
  void Withdraw(const PlacedRunId& id);
  void Forget(const PlacedRunId& id);
  void ForgetExpired(base::TimePoint now);
  void NoteHeld(const PlacedRunId& id,
                const RunHeld& held,
                base::TimePoint now);

  uint32_t slots_ = 0;
  std::map<base::EndpointName, EndpointLoad> loads_;
  std::map<PlacedRunId, PlacedAt> runs_;
  std::set<std::pair<base::TimePoint, PlacedRunId>> deadlines_;
  PrefillEstimator estimator_;
  // Tokens that a run of this domain must prefill, on average; the initial
  // value is an assumption.
  double mean_tokens_ = 1000;
};

}  // namespace bilberry::forward
