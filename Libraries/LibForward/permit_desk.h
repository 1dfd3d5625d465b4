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
#include "LibForward/peer_desk.h"
#include "LibForward/permit_book.h"

namespace bilberry::forward {

// A permit of this host's, for one request.
struct HeldPermit {
  ListedEndpoint endpoint;
  base::TimePoint begins;
  base::TimePoint lapses;
};
// The next permit begins then, which is too late.
struct NoPermitBefore {
  base::TimePoint next;
};
// The keeper gave no answer of use, and may be asked again from then on.
struct KeeperUnknown {
  base::TimePoint retry;
};

using PermitResult = std::variant<HeldPermit, NoPermitBefore, KeeperUnknown>;

std::string_view ToText(const PermitResult& result);

struct PermitOutcome {
  PermitAskId ask{};
  ListedEndpoint endpoint;
  base::HostName keeper;
  PermitResult result;
};

// Gets permits for requests to endpoints with a limit, and grants those of the
// limits that this host keeps. Keepers are chosen as dispatchers are: hosts
// that know the same hosts choose alike, without talking.
class PermitDesk {
 public:
  PermitDesk(ForwardContext& context, PeerDesk& peers)
      : context_(context), peers_(peers) {}

  // Ends in one outcome, unless it is withdrawn.
  PermitAskId Ask(const ListedEndpoint& endpoint,
                  base::Duration longest_wait,
                  base::TimePoint now);
  void Withdraw(PermitAskId id) { questions_.erase(id); }
  std::vector<PermitOutcome> TakeOutcomes();

  void Handle(const PeerPermitAsked& event, base::TimePoint now);
  void Handle(const PermitAnswered& event, base::TimePoint now);
  void Handle(const PermitLost& event, base::TimePoint now);

  // An answer to this host has changed what is known of the endpoint's limit.
  void NoteHeard(const base::EndpointName& endpoint,
                 base::Incarnation incarnation,
                 base::TimePoint now);
  // What peers tell of limits.
  void TakeWords(const std::vector<ToldLimit>& limits, base::TimePoint now);

  void SetEndpoints(std::span<const ListedEndpoint> endpoints);
  // Who keeps which limit may have changed: gives up those that another host
  // keeps from now on, and watches the hosts that this one would follow.
  void Review();

 private:
  struct Question {
    ListedEndpoint endpoint;
    base::HostName keeper;
    base::TimePoint asked;
  };

  PermitVerdict Grant(const PermitQuestion& question, base::TimePoint now);
  void TakeWord(const ToldLimit& told, base::TimePoint now);
  // Empty when the endpoint isn't listed.
  std::optional<KeptEndpoint> Find(const base::EndpointName& endpoint) const;
  bool IsKeeperOf(const KeptEndpoint& endpoint) const;
  void TellListeners(const ToldLimit& told);
  // Watches its keeper if this host would follow that one.
  void GuardKeeperOf(const KeptEndpoint& endpoint);
  size_t OpenQuestionsOf(const base::EndpointName& endpoint) const;
  // What the verdict means for a question of this host.
  static PermitResult ResultOf(const Question& question,
                               const PermitVerdict& verdict,
                               base::TimePoint now);
  void Finish(PermitAskId id, const PermitResult& result);

  ForwardContext& context_;
  PeerDesk& peers_;
  PermitBook book_;
  std::map<base::EndpointName, base::ZoneName> zones_;  // Of those listed.
  std::set<base::HostName> guarded_;
  std::map<PermitAskId, Question> questions_;
  std::vector<PermitOutcome> outcomes_;
  uint64_t last_ask_ = 0;
};

}  // namespace bilberry::forward
