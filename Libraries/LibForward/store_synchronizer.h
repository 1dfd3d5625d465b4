#pragma once

#include <array>
#include <memory>
#include <optional>
#include <vector>

#include "LibForward/endpoint_directory.h"
#include "LibForward/feed_follower.h"
#include "LibForward/forward_context.h"
#include "LibForward/relay_poller.h"
#include "LibForward/table_change_log.h"

namespace bilberry::forward {

// What this host knows from the platform's store: configuration, endpoints and
// the other hosts; and its own row among those.
class StoreSynchronizer {
 public:
  explicit StoreSynchronizer(ForwardContext& context);

  void Handle(TableListed event, base::TimePoint now);
  void Handle(TableChanged event, base::TimePoint now);
  void Handle(const TableHistoryLost& event, base::TimePoint now);
  void Handle(const TableCallFailed& event, base::TimePoint now);
  // An answer of the endpoint said that it leaves; false when that is known.
  bool NoteLeaving(const base::EndpointName& name,
                   base::Incarnation incarnation,
                   base::TimePoint now);
  // The same by peers' words.
  void TakeDepartures(const std::vector<EndpointDeparture>& departures,
                      base::TimePoint now);
  void Handle(const PeerStoreSyncRequested& event, base::TimePoint now);
  void Handle(StoreSyncReceived event, base::TimePoint now);
  void Handle(const StoreSyncFailed& event, base::TimePoint now);
  void Handle(const OwnRowWritten& event);
  void Handle(const OwnRowFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  void NoteStopping();
  // The hosts that are known have changed.
  void ChooseRelays();

  std::optional<base::TimePoint> NextWakeup() const;

  // Null until one is known. Revisions only rise.
  std::shared_ptr<const ForwardConfiguration> configuration() const {
    return configuration_;
  }
  // Those of evacuated zones have that state.
  std::vector<ListedEndpoint> endpoints() const;
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
  const FeedFollower& FollowerOf(FeedKind feed) const {
    return followers_[static_cast<size_t>(feed)];
  }
  bool HasListedAll() const;
  void Take(FeedKind feed,
            const FeedFollower::Update& update,
            base::TimePoint now);
  // Takes on which endpoints say that they are cold.
  void NoteColdOnes(const FeedFollower::Update& update, base::TimePoint now);
  void TakeConfiguration(const FeedFollower::Update& update);
  void TakeEvacuations(const FeedFollower::Update& update);
  void LogEvacuations(const std::map<std::string, base::ZoneName>& earlier);
  void TakeHosts(const FeedFollower::Update& update);
  void NoteTold(FeedKind feed, base::TimePoint now);
  void NoteReachable(FeedKind feed, bool was_failing, base::TimePoint now);
  void AskOthersAnew(FeedKind feed);
  TableChangeLog& LedgerOf(FeedKind feed) {
    return feed == FeedKind::kHosts ? host_ledger_ : endpoint_ledger_;
  }
  void TakeFreshNews(std::vector<TableUpdate> tables,
                     base::TimePoint holds_until,
                     base::TimePoint now);
  void TakeNews(TableUpdate news, base::TimePoint now);
  void SpaceOutFailingCalls();
  void AskForNews(base::TimePoint now);
  void LogUnreadable(FeedKind feed, const FeedRow& row);

  ForwardContext& context_;
  std::array<FeedFollower, 3> followers_;
  EndpointDirectory directory_;
  RelayPoller relays_;
  TableChangeLog endpoint_ledger_{FeedKind::kEndpoints};
  TableChangeLog host_ledger_{FeedKind::kHosts};
  // When the store last told what endpoints there are, to this host or to the
  // peer that passed it on.
  base::TimePoint told_;
  // Until then peers tell what the store would.
  base::TimePoint relayed_until_;
  std::map<std::string, PeerHost> hosts_;
  std::shared_ptr<const ForwardConfiguration> configuration_;
  std::map<std::string, base::ZoneName> evacuations_;  // By the row's key.
  // Up to which the operators' rows were known when one of them last changed.
  uint64_t operators_version_ = 0;
  // The store has failed calls lately.
  base::TimePoint trouble_until_;
  uint64_t configuration_changes_ = 0;
  uint64_t endpoint_changes_ = 0;
  uint64_t host_changes_ = 0;
  // When to write the own row; empty while a write is under way or done.
  std::optional<base::TimePoint> own_row_due_ = base::TimePoint();
};

}  // namespace bilberry::forward
