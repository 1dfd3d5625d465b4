#pragma once

#include <memory>
#include <optional>
#include <unordered_map>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibBase/time.h"
#include "LibMembership/configuration_head.h"
#include "LibMembership/configuration_keeper.h"
#include "LibMembership/host_list.h"
#include "LibNode/event.h"
#include "LibNode/node_context.h"

namespace bilberry::node {

// Learns the configuration and the hosts from the platform and from peers.
class MembershipCoordinator {
 public:
  explicit MembershipCoordinator(NodeContext& context) : context_(context) {}

  // True when the operation was one of this coordinator's.
  bool HandleAnswered(const PlatformAnswered& event, base::TimePoint now);
  bool HandleFailed(const PlatformFailed& event, base::TimePoint now);
  bool HandlePeerAnswered(const PeerAnswered& event, base::TimePoint now);
  bool HandlePeerFailed(const PeerFailed& event, base::TimePoint now);
  void HandlePeerRequest(const PeerRequest& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // An endpoint said by itself that it leaves.
  void NoteLeaving(const base::EndpointName& endpoint,
                   base::Incarnation incarnation);

  base::Revision revision() const { return keeper_.revision(); }
  std::shared_ptr<const declare::Configuration> configuration() const {
    return keeper_.configuration();
  }
  const membership::HostList& hosts() const { return hosts_; }
  bool is_platform_reachable() const { return is_platform_reachable_; }

  // Grows whenever configuration() or hosts() changes.
  uint64_t change_count() const { return change_count_; }

 private:
  enum class Question { kHosts, kHead, kDocument };

  void Ask(Question question, base::PlatformRequest request);
  void HandleHosts(const base::HostsPolled& polled);
  void HandleHead(const base::RowRead& read);
  void HandleDocument(const base::ObjectFetched& fetched);
  void OfferConfiguration(base::Revision revision, std::string document);
  void NotePlatform(bool is_reachable);
  void PollPlatform();
  void TellPeer(base::TimePoint now);

  NodeContext& context_;
  membership::HostList hosts_;
  membership::ConfigurationKeeper keeper_;
  base::RowVersion head_version_ = base::RowVersion::kAbsent;
  std::optional<membership::ConfigurationHead> wanted_head_;
  std::unordered_map<base::OperationId, Question> questions_;
  std::unordered_map<base::OperationId, base::SocketAddress> peer_questions_;
  base::TimePoint next_poll_;
  bool is_platform_reachable_ = true;
  uint64_t change_count_ = 0;
};

}  // namespace bilberry::node
