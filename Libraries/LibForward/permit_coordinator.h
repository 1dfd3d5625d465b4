#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/peer_directory.h"
#include "LibForward/permit_issuer.h"

namespace bilberry::forward {

// A permit granted to this host for one request.
struct HeldPermit {
  ListedEndpoint endpoint;
  base::TimePoint begins;
  base::TimePoint expires;
};
// The next permit begins after the longest wait.
struct NoPermitInTime {
  base::TimePoint next;
};
// The limit's owner gave no usable answer; it may be asked again at `retry`.
struct LimitOwnerUnavailable {
  base::TimePoint retry;
};

using PermitResult =
    std::variant<HeldPermit, NoPermitInTime, LimitOwnerUnavailable>;

std::string_view ToText(const PermitResult& result);

struct PermitOutcome {
  PermitRequestId id{};
  ListedEndpoint endpoint;
  base::HostName limit_owner;
  PermitResult result;
};

// Requests permits for endpoints with a rate limit, and grants permits for the
// limits that this host owns. Limit owners are chosen by rendezvous hashing, as
// dispatchers are: hosts with the same host list choose the same owner without
// communication.
class PermitCoordinator {
 public:
  PermitCoordinator(ForwardContext& context, PeerDirectory& peers)
      : context_(context), peers_(peers) {}

  // Requests a permit. Yields one outcome unless withdrawn.
  PermitRequestId Request(const ListedEndpoint& endpoint,
                          base::Duration longest_wait,
                          base::TimePoint now);
  void Withdraw(PermitRequestId id) { pending_.erase(id); }
  std::vector<PermitOutcome> TakeOutcomes();

  void Handle(const PeerPermitRequested& event, base::TimePoint now);
  void Handle(const PermitAnswered& event, base::TimePoint now);
  void Handle(const PermitRequestFailed& event, base::TimePoint now);

  // Reports a limit that has changed by an answer to this host.
  void NoteLimitChanged(const base::EndpointName& endpoint,
                        base::Incarnation incarnation,
                        base::TimePoint now);
  // Applies limits reported by peers.
  void ApplyReports(const std::vector<EndpointLimitReport>& limits,
                    base::TimePoint now);

  void SetEndpoints(std::span<const ListedEndpoint> endpoints);
  // Updates the limit owners after a change of hosts or limits: hands over
  // limits that another host owns from now on, and monitors the hosts whose
  // limits this host would take over.
  void UpdateLimitOwners();

 private:
  struct PendingRequest {
    ListedEndpoint endpoint;
    base::HostName limit_owner;
    base::TimePoint requested_at;
  };

  PermitDecision Grant(const PermitRequest& request, base::TimePoint now);
  void ApplyReport(const EndpointLimitReport& report, base::TimePoint now);
  // Returns empty if the endpoint isn't listed.
  std::optional<EndpointLimitKey> Find(
      const base::EndpointName& endpoint) const;
  bool IsLimitOwnerOf(const EndpointLimitKey& endpoint) const;
  void BroadcastLimit(const EndpointLimitReport& report);
  // Monitors the owner of the endpoint's limit if this host is its successor.
  void MonitorLimitOwnerOf(const EndpointLimitKey& endpoint);
  size_t PendingRequestsOf(const base::EndpointName& endpoint) const;
  // Converts the limit owner's decision into the result of this host's request.
  static PermitResult ResultOf(const PendingRequest& request,
                               const PermitDecision& decision,
                               base::TimePoint now);
  void Finish(PermitRequestId id, const PermitResult& result);

  ForwardContext& context_;
  PeerDirectory& peers_;
  PermitIssuer issuer_;
  // Zones of the listed endpoints.
  std::map<base::EndpointName, base::ZoneName> zones_;
  std::set<base::HostName> monitored_;
  std::map<PermitRequestId, PendingRequest> pending_;
  std::vector<PermitOutcome> outcomes_;
  uint64_t last_request_ = 0;
};

}  // namespace bilberry::forward
