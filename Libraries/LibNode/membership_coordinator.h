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

// Learns the configuration and the host list from the platform and from peers,
// and gossips both to peers.
class MembershipCoordinator {
 public:
  explicit MembershipCoordinator(NodeContext& context);

  // True when the operation belongs to this coordinator.
  bool HandleAnswered(const PlatformAnswered& event, base::TimePoint now);
  bool HandleFailed(const PlatformFailed& event, base::TimePoint now);
  bool HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);
  bool HandlePeerFailed(const PeerFailed& event, base::TimePoint now);
  // `local` is a digest that holds the other coordinators' parts.
  void HandlePeerRequest(const PeerRequest& event,
                         GossipDigest local,
                         base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // Whether a gossip round must begin: a regular round is due, or there is an
  // update.
  bool IsRoundDue(base::TimePoint now) const;
  void GossipToPeers(GossipDigest local, base::TimePoint now);

  // An endpoint reported that it is leaving.
  void NoteLeaving(const base::EndpointName& endpoint,
                   base::Incarnation incarnation);
  // This host is leaving.
  void NoteStopping();

  base::Revision revision() const { return active_configuration_.revision(); }
  std::shared_ptr<const declare::Configuration> configuration() const {
    return active_configuration_.configuration();
  }
  const membership::HostList& hosts() const { return hosts_; }
  bool is_platform_reachable() const { return is_platform_reachable_; }

  // Incremented whenever configuration() or hosts() changes.
  uint64_t change_count() const { return change_count_; }

  // Counts a refused message of a peer; logged at most once a minute.
  void NoteRefusedMessage(base::TimePoint now);

 private:
  enum class RequestKind { kHosts, kHead, kDocument };

  // A request to the platform. A request that is open past `due` is abandoned.
  struct OpenRequest {
    RequestKind kind = RequestKind::kHosts;
    // Head that names the requested document.
    membership::ConfigurationHead head;
    base::TimePoint due;
  };

  struct OpenPeerRequest {
    base::SocketAddress peer;
    bool is_fetch = false;
    base::TimePoint due;
  };

  void SendRequest(OpenRequest open_request,
                   base::PlatformRequest request,
                   std::chrono::milliseconds timeout,
                   base::TimePoint now);
  bool IsRequestOpen(RequestKind kind) const;
  void AbandonOverdue(base::TimePoint now);
  void PollPlatform(base::TimePoint now);
  void HandleHosts(const base::HostsPolled& polled);
  void LearnHosts(const HostsOffer& offer, const base::SocketAddress& peer);
  void HandleHead(const base::RowRead& read, base::TimePoint now);
  void HandleLowerHead(const membership::ConfigurationHead& head);
  void HandleDocument(const membership::ConfigurationHead& head,
                      const base::ObjectFetched& fetched);
  void OfferConfiguration(base::Revision revision, std::string document);
  void SetPlatformReachable(bool is_reachable);

  GossipDigest FillGossipDigest(GossipDigest local) const;
  void HandleGossipDigest(const GossipDigest& digest,
                          const base::SocketAddress& sender,
                          base::TimePoint now);
  // Requests the configuration from these peers, with at most kMaxFetches
  // requests in flight.
  void FetchConfiguration(const std::vector<base::SocketAddress>& peers,
                          base::TimePoint now);
  void SendToPeer(const base::SocketAddress& peer,
                  PeerMessage message,
                  std::chrono::milliseconds timeout,
                  base::TimePoint now);
  membership::GossipFanout NextFanout();
  void NoteUpdate();

  NodeContext& context_;
  membership::HostList hosts_;
  // When the platform last confirmed the list.
  base::TimePoint hosts_confirmed_at_;
  membership::ActiveConfiguration active_configuration_;
  membership::PeerSelector selector_;
  base::RowVersion head_version_ = base::RowVersion::kAbsent;
  // The last refused head, to log it only once.
  std::optional<membership::ConfigurationHead> refused_head_;
  // The last revision with a malformed document, to log it only once.
  base::Revision malformed_revision_{};
  std::string malformed_object_;
  std::unordered_map<base::OperationId, OpenRequest> open_requests_;
  std::unordered_map<base::OperationId, OpenPeerRequest> open_peer_requests_;
  base::TimePoint next_poll_;
  base::TimePoint next_round_;
  base::TimePoint next_update_round_;
  uint64_t rounds_ = 0;
  bool has_update_ = false;
  bool is_platform_reachable_ = true;
  uint64_t refused_message_count_ = 0;
  base::TimePoint next_refused_message_log_;
  uint64_t change_count_ = 0;
};

}  // namespace bilberry::node
