#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forwarded_run.h"
#include "LibForward/placement_coordinator.h"
#include "LibForward/placement_zones.h"

namespace bilberry::forward {

// An endpoint at which its owner has placed a run.
struct PlacedEndpoint {
  ListedEndpoint listed;
  PlacementRequestId id{};
};

// Requests placements for runs, drops those that can't be used, and reports
// what becomes of placed runs.
class RunPlacements {
 public:
  // All arguments must outlive this object.
  RunPlacements(ForwardContext& context,
                PlacementCoordinator& placements,
                EndpointChooser& chooser)
      : context_(context),
        placement_coordinator_(placements),
        chooser_(chooser) {}

  // Chooses the zone of a run at admission; empty if the run isn't placed.
  std::optional<base::ZoneName> ChooseZone(const ForwardedRun& run,
                                           base::TimePoint now) const;

  // Whether a placement for the run's next attempt is to be requested: its last
  // stages have been requested.
  static bool IsRequestDue(const ForwardedRun& run);
  // Requests it. `stages_end` is when the stages are expected to be done.
  void Request(base::CallerId caller,
               ForwardedRun& run,
               base::TimePoint stages_end,
               base::TimePoint now);
  // Withdraws the run's pending request or unused placement, when the run ends.
  void Withdraw(ForwardedRun& run, base::TimePoint now);

  std::vector<PlacementOutcome> TakeOutcomes() {
    return placement_coordinator_.TakeOutcomes();
  }
  // Removes the placement request and returns its caller; empty if it was
  // withdrawn.
  std::optional<base::CallerId> TakeCaller(PlacementRequestId id);
  // Applies the outcome of the run's placement request.
  void Note(const PlacementOutcome& outcome,
            ForwardedRun& run,
            base::TimePoint now);
  // Consumes the run's placement and returns its endpoint; empty if the run has
  // no placement, or if this host would not send it there now.
  std::optional<PlacedEndpoint> Use(ForwardedRun& run, base::TimePoint now);

  // The first event of the answer to the run's attempt has just arrived.
  void NoteFirstEvent(const ForwardedRun& run, base::TimePoint now);
  // The run's attempt has just ended. A further attempt is placed anew.
  void NoteAttemptEnded(ForwardedRun& run,
                        AttemptOutcome outcome,
                        base::TimePoint now);

 private:
  // Whether endpoints for the run are placed by an owner.
  bool Applies(const ForwardedRun& run) const;
  bool IsSuspect(const ForwardedRun& run) const;
  void Log(const ForwardedRun& run,
           const HeldPlacement& placement,
           std::string_view outcome);

  ForwardContext& context_;
  PlacementCoordinator& placement_coordinator_;
  EndpointChooser& chooser_;
  PlacementZones zones_;
  std::map<PlacementRequestId, base::CallerId> callers_;
};

}  // namespace bilberry::forward
