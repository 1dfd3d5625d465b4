#pragma once

#include <array>
#include <memory>
#include <optional>
#include <vector>

#include "LibForward/endpoint_directory.h"
#include "LibForward/evacuated_zones.h"
#include "LibForward/feed_follower.h"
#include "LibForward/forward_context.h"
#include "LibForward/operators_rows_fetcher.h"
#include "LibForward/own_row_writer.h"
#include "LibForward/relay_poller.h"
#include "LibForward/table_change_log.h"

namespace bilberry::forward {

// This host's copy of the platform's store: configuration, endpoints and the
// other hosts. Also writes this host's own row.
class StoreSynchronizer {
 public:
  explicit StoreSynchronizer(ForwardContext& context);

  void Handle(const TableAnswerBegun& event);
  void Handle(TableListed event, base::TimePoint now);
  void Handle(TableChanged event, base::TimePoint now);
  void Handle(const TableHistoryLost& event, base::TimePoint now);
  void Handle(const TableCallFailed& event, base::TimePoint now);
  // Records that the endpoint announced its shutdown in an answer. Returns
  // false if the departure was known.
  bool NoteLeaving(const base::EndpointName& name,
                   base::Incarnation incarnation,
                   base::TimePoint now);
  // Records departures reported by peers.
  void ApplyDepartures(const std::vector<EndpointDeparture>& departures,
                       base::TimePoint now);
  void Handle(const PeerStoreSyncRequested& event, base::TimePoint now);
  void Handle(StoreSyncReceived event, base::TimePoint now);
  void Handle(const StoreSyncFailed& event, base::TimePoint now);
  void Handle(const OwnRowWritten& event, base::TimePoint now);
  void Handle(const OwnRowConflict& event, base::TimePoint now);
  void Handle(const OwnRowFailed& event, base::TimePoint now);
  void HandleTimer(base::TimePoint now);
  void NoteStopping(base::TimePoint now);
  // Chooses the relays anew after a change of the known hosts.
  void ChooseRelays();

  std::optional<base::TimePoint> NextWakeup() const;

  // Null until a configuration is known. Revisions only increase.
  std::shared_ptr<const ForwardConfiguration> configuration() const {
    return configuration_;
  }
  // Returns all endpoints; those in evacuated zones have the state kEvacuated.
  std::vector<ListedEndpoint> endpoints() const;
  bool knows_endpoints() const { return !directory_.is_empty(); }
  // endpoints() holds all that the store listed at this time.
  base::TimePoint endpoints_known_as_of() const {
    return FollowerOf(FeedKind::kEndpoints).known_as_of();
  }
  std::vector<PeerHost> hosts() const;

  // Counters that are incremented with each change.
  uint64_t configuration_changes() const { return configuration_changes_; }
  uint64_t endpoint_changes() const { return endpoint_changes_; }
  uint64_t host_changes() const { return host_changes_; }
  // How often the store has come back from an older copy.
  uint64_t restorations() const { return restorations_; }

 private:
  FeedFollower& FollowerOf(FeedKind feed) {
    return followers_[static_cast<size_t>(feed)];
  }
  const FeedFollower& FollowerOf(FeedKind feed) const {
    return followers_[static_cast<size_t>(feed)];
  }
  // Who told this host something about the store's contents.
  enum class Source { kStore, kPeer };
  // How an era compares with the latest one known before.
  enum class EraOrder { kEarlier, kSame, kLater };

  static std::string_view NameOf(Source source);
  void Apply(FeedKind feed,
             FeedFollower::Update update,
             Source source,
             base::TimePoint now);
  // Records the endpoints that are cold according to their rows.
  void NoteColdEndpoints(const FeedFollower::Update& update,
                         base::TimePoint now);
  void ApplyConfiguration(const FeedFollower::Update& update, Source source);
  void ApplyHosts(const FeedFollower::Update& update, base::TimePoint now);
  void NoteEndpointsAnswered(FeedKind feed, base::TimePoint now);
  void NoteReachable(FeedKind feed, bool was_failing, base::TimePoint now);
  void RestartOlderCalls(FeedKind feed);
  TableChangeLog& ChangeLogOf(FeedKind feed) {
    return change_logs_[static_cast<size_t>(feed)];
  }
  bool IsStoreFailing() const;
  void NoteFreshCopy(base::TimePoint valid_until, base::TimePoint now);
  void ApplyUpdate(TableUpdate update, base::TimePoint now);
  void SpaceOutFailingCalls();
  void PollRelay(base::TimePoint now);
  // Asks a peer for newer operators' rows that it has told of.
  void FetchOperatorsRows(base::TimePoint now);
  void HandleNews(const StoreSyncResponse& response,
                  bool is_earlier,
                  base::TimePoint now);
  void NoteOffered(const OfferedOperatorsRows& offer, base::TimePoint now);
  // What this host tells peers of, and up to when it has asked for changes.
  OperatorsRowsAge OwnOperatorsRows() const;
  OperatorsRowsAge AgeOfOperatorsRows() const;
  OperatorsRowsFetcher::StoreCall ConfigurationCall() const;
  // Up to which this host knows the table; 0 if it hasn't been listed.
  uint64_t KnownVersionOf(FeedKind feed) const;
  void LogUnreadable(FeedKind feed, const FeedRow& row);
  EraOrder NoteEra(StoreEra era, Source source, base::TimePoint now);
  void BeginEra(Source source, base::TimePoint now);
  // Takes note of an answer's era. Returns whether the answer itself can be
  // used.
  bool AcceptAnswer(FeedKind feed, StoreEra era, base::TimePoint now);
  // The same for an answer to a write of this host's own row.
  bool AcceptOwnRowAnswer(StoreEra era, base::TimePoint now);
  void DropUnconfirmed(std::vector<FeedRow>& rows) const;

  ForwardContext& context_;
  std::array<FeedFollower, 3> followers_;
  EndpointDirectory directory_;
  RelayPoller relays_;
  std::array<TableChangeLog, 3> change_logs_{
      TableChangeLog(FeedKind::kConfiguration),
      TableChangeLog(FeedKind::kEndpoints), TableChangeLog(FeedKind::kHosts)};
  // When the store last answered with the endpoint table, to this host or to
  // the peer that passed it on.
  base::TimePoint endpoints_as_of_;
  base::TimePoint relay_polled_at_;
  base::SocketAddress polled_relay_;
  OperatorsRowsFetcher fetcher_;
  // Until then the copy that a peer has passed on is valid.
  base::TimePoint relayed_until_;
  StoreEra era_;  // The latest one known.
  std::map<std::string, PeerHost> hosts_;
  std::shared_ptr<const ForwardConfiguration> configuration_;
  EvacuatedZones evacuated_zones_;
  // Version of the configuration feed at the last change of one of the
  // operators' rows.
  uint64_t operators_version_ = 0;
  // Calls to the store have failed recently; until then its long polls are kept
  // short.
  base::TimePoint short_polls_until_;
  uint64_t configuration_changes_ = 0;
  uint64_t endpoint_changes_ = 0;
  uint64_t host_changes_ = 0;
  uint64_t restorations_ = 0;
  OwnRowWriter own_row_;
};

}  // namespace bilberry::forward
