#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/peer_directory.h"
#include "LibForward/placement_report_queue.h"
#include "LibForward/placement_schedulers.h"

namespace bilberry::forward {

enum class PlacementFailure {
  kTimeout,
  kUnreachable,  // The exchange failed, or one did shortly before.
  kNotOwner,     // The asked host considers another host the owner.
  kNone,         // The owner has no endpoint for the run.
};

std::string_view ToText(PlacementFailure failure);

struct PlacementOutcome {
  PlacementRequestId id{};
  PlacementDomain domain;
  base::HostName owner;
  std::variant<Placed, PlacementFailure> result;
  base::Duration asked_for{};  // From the request to this outcome.
  // The owner's expected wait for the next request; empty if it didn't answer.
  std::optional<base::Duration> next_wait;
};

// Requests placements for runs of this host, reports to placement owners what
// has become of the placed runs, and places runs of all hosts in the domains
// that this host owns. Owners are assigned as limit owners are: hosts with the
// same host list choose the same owner without communication.
class PlacementCoordinator {
 public:
  // All arguments must outlive this object.
  PlacementCoordinator(ForwardContext& context,
                       PeerDirectory& peers,
                       EndpointChooser& chooser)
      : context_(context), peers_(peers), schedulers_(chooser) {}

  size_t host_count() const { return peers_.assignment().host_count(); }

  // Requests a placement; `request.run.id` is set here. Yields one outcome
  // within kPlacementTimeout, unless withdrawn.
  PlacementRequestId Request(PlacementRequest request, base::TimePoint now);
  std::vector<PlacementOutcome> TakeOutcomes();
  // Reports the progress of a placed run. RunEnded and RunMoved end the
  // placement.
  void Report(PlacementRequestId id,
              const RunProgress& progress,
              base::TimePoint now);
  // The run is not sent to the endpoint at which it was or will be placed.
  void Withdraw(PlacementRequestId id, base::TimePoint now);

  void Handle(const PeerPlacementRequested& event, base::TimePoint now);
  void Handle(const PlacementAnswered& event, base::TimePoint now);
  void Handle(const PlacementRequestFailed& event, base::TimePoint now);
  void Handle(const PeerPlacementReported& event, base::TimePoint now);

  void SetConfiguration(
      std::shared_ptr<const ForwardConfiguration> configuration) {
    schedulers_.SetConfiguration(std::move(configuration));
  }
  void SetEndpoints(std::span<const ListedEndpoint> endpoints) {
    schedulers_.SetEndpoints(endpoints);
  }
  // Updates the owners after a change of hosts: tells new owners of this host's
  // runs, and drops domains that other hosts own from now on.
  void UpdateOwners(base::TimePoint now);

  // Ends the requests that have timed out.
  void HandleTimer(base::TimePoint now);
  void SendDueReports(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  std::vector<EndpointPlacementStatus> Status(base::TimePoint now) const {
    return schedulers_.Status(now);
  }

 private:
  // A request whose answer has not arrived.
  struct Exchange {
    PlacementDomain domain;
    PlacementRun run;
    base::HostName owner;
    base::TimePoint requested_at;
    bool is_awaited = true;  // Whether an outcome is still due.
  };

  // A run that an owner has placed.
  struct PlacedRun {
    PlacementDomain domain;
    PlacementRun run;  // Times are relative to `requested_at`.
    base::TimePoint requested_at;
    base::EndpointName endpoint;
    bool has_begun = false;
  };

  const PeerHost& OwnerOf(const PlacementDomain& domain) const {
    return peers_.assignment().PlacementOwnerOf(domain);
  }
  bool IsUnreachable(const base::HostName& owner, base::TimePoint now) const;
  void NoteUnreachable(const base::HostName& owner, base::TimePoint now);
  void NoteAnswer(PlacementRequestId id,
                  const PlacementAnswer& answer,
                  base::TimePoint now);
  void Hold(PlacementRequestId id,
            const Exchange& exchange,
            const Placed& placed,
            base::TimePoint now);
  // Ends the wait for the answer.
  void Fail(PlacementRequestId id,
            Exchange& exchange,
            PlacementFailure failure,
            base::TimePoint now);
  // Sends the report to the owner of the domain, or applies it here.
  void Deliver(const PlacementDomain& domain,
               RunReport report,
               base::TimePoint now);
  void DeliverMoved(const Exchange& exchange, base::TimePoint now);
  void DeliverHeld(const PlacedRun& placed, base::TimePoint now);
  PlacedRunId RunIdOf(PlacementRequestId id) const;

  ForwardContext& context_;
  PeerDirectory& peers_;
  PlacementSchedulers schedulers_;
  PlacementReportQueue reports_;
  // In the order of their requests.
  std::map<PlacementRequestId, Exchange> exchanges_;
  std::map<PlacementRequestId, PlacedRun> placed_runs_;
  // The owners of the domains in which this host has requested placements.
  std::map<PlacementDomain, base::HostName> owners_;
  std::map<base::HostName, base::TimePoint> unreachable_until_;
  std::vector<PlacementOutcome> outcomes_;
  uint64_t last_request_ = 0;
};

}  // namespace bilberry::forward
