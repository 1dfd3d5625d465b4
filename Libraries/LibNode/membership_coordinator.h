#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibBase/time.h"
#include "LibMembership/active_configuration.h"
#include "LibMembership/configuration_head.h"
#include "LibMembership/host_list.h"
#include "LibMembership/peer_selector.h"
#include "LibNode/event.h"
#include "LibNode/node_context.h"

namespace bilberry::node {

// Learns the configuration and the hosts from the platform and from peers, and
// tells peers what it knows.
class MembershipCoordinator {
 public:
  explicit MembershipCoordinator(NodeContext& context);

  // True when the operation was one of this coordinator's.
  bool HandleAnswered(const PlatformAnswered& event, base::TimePoint now);
  bool HandleFailed(const PlatformFailed& event, base::TimePoint now);
  bool HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);
  bool HandlePeerFailed(const PeerFailed& event, base::TimePoint now);
  // `local` is a digest with the facts that other coordinators have.
  void HandlePeerRequest(const PeerRequest& event,
                         Digest local,
                         base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // Peers are to be told now: a round is due, or there is news.
  bool IsRoundDue(base::TimePoint now) const;
  void GossipToPeers(Digest local, base::TimePoint now);

  // An endpoint said by itself that it leaves.
  void NoteLeaving(const base::EndpointName& endpoint,
                   base::Incarnation incarnation);
  // This host itself leaves.
  void NoteStopping();

  base::Revision revision() const { return keeper_.revision(); }
  std::shared_ptr<const declare::Configuration> configuration() const {
    return keeper_.configuration();
  }
  const membership::HostList& hosts() const { return hosts_; }
  bool is_platform_reachable() const { return is_platform_reachable_; }

  // Grows whenever configuration() or hosts() changes.
  uint64_t change_count() const { return change_count_; }

  // Counts a peer's message that could not be read; logged once a minute.
  void NoteRefused(base::TimePoint now);

 private:
  enum class QuestionKind { kHosts, kHead, kDocument };

  // A question to the platform. One that stays open past `due` is given up.
  struct Question {
    QuestionKind kind = QuestionKind::kHosts;
    membership::ConfigurationHead head;  // Of the document asked for.
    base::TimePoint due;
  };

  struct PeerQuestion {
    base::SocketAddress peer;
    bool is_fetch = false;
    base::TimePoint due;
  };

  void Ask(Question question,
           base::PlatformRequest request,
           std::chrono::milliseconds timeout,
           base::TimePoint now);
  bool HasAsked(QuestionKind kind) const;
  void ForgetOverdue(base::TimePoint now);
  void PollPlatform(base::TimePoint now);
  void HandleHosts(const base::HostsPolled& polled);
  void LearnHosts(const HostsOffer& offer, const base::SocketAddress& peer);
  void HandleHead(const base::RowRead& read, base::TimePoint now);
  void HandleLowerHead(const membership::ConfigurationHead& head);
  void HandleDocument(const membership::ConfigurationHead& head,
                      const base::ObjectFetched& fetched);
  void OfferConfiguration(base::Revision revision, std::string document);
  void NotePlatform(bool is_reachable);

  Digest FillDigest(Digest local) const;
  void HandleDigest(const Digest& digest,
                    const base::SocketAddress& sender,
                    base::TimePoint now);
  // Asks for the configuration; a peer that isn't known by its address is
  // passed over for others.
  void Fetch(const std::vector<base::SocketAddress>& peers,
             base::TimePoint now);
  void SendToPeer(const base::SocketAddress& peer,
                  PeerMessage message,
                  std::chrono::milliseconds timeout,
                  base::TimePoint now);
  membership::GossipFanout NextShare();
  void NoteNews();

  NodeContext& context_;
  membership::HostList hosts_;
  base::TimePoint hosts_confirmed_;  // By the platform.
  membership::ActiveConfiguration keeper_;
  membership::PeerSelector selector_;
  base::RowVersion head_version_ = base::RowVersion::kAbsent;
  // The last head that was refused, so that it is logged once.
  std::optional<membership::ConfigurationHead> refused_head_;
  // The last revision whose document was malformed, likewise.
  base::Revision malformed_revision_{};
  std::string malformed_object_;
  std::unordered_map<base::OperationId, Question> questions_;
  std::unordered_map<base::OperationId, PeerQuestion> peer_questions_;
  base::TimePoint next_poll_;
  base::TimePoint next_round_;
  base::TimePoint earliest_news_;
  uint64_t rounds_ = 0;
  bool has_news_ = false;
  bool is_platform_reachable_ = true;
  uint64_t refused_count_ = 0;
  base::TimePoint next_refused_log_;
  uint64_t change_count_ = 0;
};

}  // namespace bilberry::node
