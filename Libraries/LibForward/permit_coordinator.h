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

// A permit of this host's, for one request.
struct HeldPermit {
  ListedEndpoint endpoint;
  base::TimePoint begins;
  base::TimePoint lapses;
};
// The next permit begins then, which is too late.
struct NoPermitInTime {
  base::TimePoint next;
};
// The keeper gave no answer of use, and may be asked again from then on.
struct LimitOwnerUnavailable {
  base::TimePoint retry;
};

using PermitResult =
    std::variant<HeldPermit, NoPermitInTime, LimitOwnerUnavailable>;

std::string_view ToText(const PermitResult& result);

struct PermitOutcome {
  PermitRequestId ask{};
  ListedEndpoint endpoint;
  base::HostName limit_owner;
  PermitResult result;
};

// Gets permits for requests to endpoints with a limit, and grants those of the
// limits that this host keeps. Keepers are chosen as dispatchers are: hosts
// that know the same hosts choose alike, without talking.
class PermitCoordinator {
 public:
  PermitCoordinator(ForwardContext& context, PeerDirectory& peers)
      : context_(context), peers_(peers) {}

  // Ends in one outcome, unless it is withdrawn.
  PermitRequestId Ask(const ListedEndpoint& endpoint,
                      base::Duration longest_wait,
                      base::TimePoint now);
  void Withdraw(PermitRequestId id) { questions_.erase(id); }
  std::vector<PermitOutcome> TakeOutcomes();

  void Handle(const PeerPermitRequested& event, base::TimePoint now);
  void Handle(const PermitAnswered& event, base::TimePoint now);
  void Handle(const PermitRequestFailed& event, base::TimePoint now);

  // An answer to this host has changed what is known of the endpoint's limit.
  void NoteHeard(const base::EndpointName& endpoint,
                 base::Incarnation incarnation,
                 base::TimePoint now);
  // What peers tell of limits.
  void TakeReports(const std::vector<EndpointLimitReport>& limits,
                   base::TimePoint now);

  void SetEndpoints(std::span<const ListedEndpoint> endpoints);
  // Who keeps which limit may have changed: gives up those that another host
  // keeps from now on, and watches the hosts that this one would follow.
  void Review();

 private:
  struct Question {
    ListedEndpoint endpoint;
    base::HostName limit_owner;
    base::TimePoint asked;
  };

  PermitDecision Grant(const PermitRequest& question, base::TimePoint now);
  void TakeWord(const EndpointLimitReport& told, base::TimePoint now);
  // Empty when the endpoint isn't listed.
  std::optional<EndpointLimitKey> Find(
      const base::EndpointName& endpoint) const;
  bool IsLimitOwnerOf(const EndpointLimitKey& endpoint) const;
  void TellListeners(const EndpointLimitReport& told);
  // Watches its keeper if this host would follow that one.
  void MonitorLimitOwnerOf(const EndpointLimitKey& endpoint);
  size_t OpenQuestionsOf(const base::EndpointName& endpoint) const;
  // What the verdict means for a question of this host.
  static PermitResult ResultOf(const Question& question,
                               const PermitDecision& verdict,
                               base::TimePoint now);
  void Finish(PermitRequestId id, const PermitResult& result);

  ForwardContext& context_;
  PeerDirectory& peers_;
  PermitIssuer book_;
  std::map<base::EndpointName, base::ZoneName> zones_;  // Of those listed.
  std::set<base::HostName> guarded_;
  std::map<PermitRequestId, Question> questions_;
  std::vector<PermitOutcome> outcomes_;
  uint64_t last_ask_ = 0;
};

}  // namespace bilberry::forward
