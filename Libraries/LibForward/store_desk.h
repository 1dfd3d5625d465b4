#pragma once

#include <array>
#include <memory>
#include <optional>
#include <vector>

#include "LibForward/endpoint_directory.h"
#include "LibForward/feed_follower.h"
#include "LibForward/forward_context.h"

namespace bilberry::forward {

// What this host knows from the platform's store: configuration, endpoints and
// the other hosts; and its own row among those.
class StoreDesk {
 public:
  explicit StoreDesk(ForwardContext& context);

  void Handle(TableListed event, base::TimePoint now);
  void Handle(TableChanged event, base::TimePoint now);
  void Handle(const TableHistoryLost& event, base::TimePoint now);
  void Handle(const TableCallFailed& event, base::TimePoint now);
  void Handle(const OwnRowWritten& event);
  void Handle(const OwnRowFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  void NoteStopping();

  std::optional<base::TimePoint> NextWakeup() const;

  // Null until one is known. Revisions only rise.
  std::shared_ptr<const ForwardConfiguration> configuration() const {
    return configuration_;
  }
  std::vector<ListedEndpoint> endpoints() const {
    return directory_.endpoints();
  }
  bool knows_endpoints() const { return !directory_.is_empty(); }
  std::vector<PeerHost> hosts() const;

  // Grow with each change of what they count.
  uint64_t configuration_changes() const { return configuration_changes_; }
  uint64_t endpoint_changes() const { return endpoint_changes_; }
  uint64_t host_changes() const { return host_changes_; }

 private:
  FeedFollower& FollowerOf(FeedKind feed) {
    return followers_[static_cast<size_t>(feed)];
  }
  void Take(FeedKind feed,
            const FeedFollower::Update& update,
            base::TimePoint now);
  void TakeConfiguration(const FeedFollower::Update& update);
  void TakeHosts(const FeedFollower::Update& update);
  void NoteReachable(FeedKind feed, bool was_failing, base::TimePoint now);
  void AskOthersAnew(FeedKind feed);
  void LogUnreadable(FeedKind feed, const FeedRow& row);

  ForwardContext& context_;
  std::array<FeedFollower, 3> followers_;
  EndpointDirectory directory_;
  std::map<std::string, PeerHost> hosts_;
  std::shared_ptr<const ForwardConfiguration> configuration_;
  // The store has failed calls lately.
  base::TimePoint trouble_until_;
  uint64_t configuration_changes_ = 0;
  uint64_t endpoint_changes_ = 0;
  uint64_t host_changes_ = 0;
  // When to write the own row; empty while a write is under way or done.
  std::optional<base::TimePoint> own_row_due_ = base::TimePoint();
};

}  // namespace bilberry::forward
