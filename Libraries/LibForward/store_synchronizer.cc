#include "LibForward/store_synchronizer.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// Configurations and hosts change seldom: the store holds the call until they
// do. Endpoints' entries are written about once a second by each of them, so
// that a call that is held ends at once: they are asked for at intervals, short
// enough that an endpoint which leaves is noticed within half its notice.
constexpr FeedPace kConfigurationPace{std::chrono::milliseconds(0),
                                      std::chrono::milliseconds(25'000)};
constexpr FeedPace kEndpointPace{std::chrono::milliseconds(900),
                                 std::chrono::milliseconds(900)};
constexpr FeedPace kHostPace{std::chrono::milliseconds(500),
                             std::chrono::milliseconds(20'000)};
constexpr std::chrono::milliseconds kOwnRowRetry{700};
// For this long after a failed call the store holds none for longer than
// kWaitInTrouble: an answer that it loses is missed only when the call's time
// is over, which then makes trouble last longer.
constexpr std::chrono::milliseconds kTroubleLasts{5000};
constexpr std::chrono::milliseconds kWaitInTrouble{500};
// Without peers that tell of a new configuration, none is held for longer.
constexpr std::chrono::milliseconds kWaitAlone{10'000};
// What the store told a peer holds for this long; then the host asks the store
// itself. A peer asks each 0.9 s, and is asked each 0.7 s.
constexpr std::chrono::milliseconds kNewsHolds{2000};
// Between two calls of a feed that fails while peers answer that don't reach
// the store either.
constexpr std::chrono::milliseconds kProbeBesidePeers{2000};

}  // namespace

StoreSynchronizer::StoreSynchronizer(ForwardContext& context)
    : context_(context),
      followers_{FeedFollower(FeedKind::kConfiguration,
                              kConfigurationPace,
                              context.options().seed + 2),
                 FeedFollower(FeedKind::kEndpoints,
                              kEndpointPace,
                              context.options().seed + 3),
                 FeedFollower(FeedKind::kHosts,
                              kHostPace,
                              context.options().seed + 4)},
      relays_(context.options().own, context.options().seed + 5) {}

void StoreSynchronizer::Handle(TableListed event, base::TimePoint now) {
  const FeedKind feed = event.feed;
  const bool was_failing = FollowerOf(feed).is_failing();
  const auto update = FollowerOf(feed).HandleListed(std::move(event));
  NoteTold(feed, now);
  NoteReachable(feed, was_failing, now);
  if (update)
    Take(feed, *update, now);
}

void StoreSynchronizer::Handle(TableChanged event, base::TimePoint now) {
  const FeedKind feed = event.feed;
  const bool was_failing = FollowerOf(feed).is_failing();
  const auto update = FollowerOf(feed).HandleChanged(std::move(event));
  NoteTold(feed, now);
  NoteReachable(feed, was_failing, now);
  Take(feed, update, now);
}

void StoreSynchronizer::Handle(const TableHistoryLost& event,
                               base::TimePoint now) {
  const bool was_failing = FollowerOf(event.feed).is_failing();
  FollowerOf(event.feed).HandleHistoryLost();
  NoteReachable(event.feed, was_failing, now);
  AskOthersAnew(event.feed);
}

void StoreSynchronizer::Handle(const TableCallFailed& event,
                               base::TimePoint now) {
  FeedFollower& follower = FollowerOf(event.feed);
  if (!follower.is_failing())
    context_.Log(
        base::LogEventId::kPlatformUnreachable, "",
        {{"feed", std::string(ToText(event.feed))}, {"reason", event.detail}});
  follower.HandleFailed(now);
  trouble_until_ = now + kTroubleLasts;
  if (event.feed == FeedKind::kEndpoints)
    directory_.NoteStoreLost();
}

// The endpoints' feed alone is asked at short intervals whatever happens: if
// its answers get lost, those of the others don't make what is known any newer.
void StoreSynchronizer::NoteTold(FeedKind feed, base::TimePoint now) {
  if (feed == FeedKind::kEndpoints)
    told_ = now;
}

void StoreSynchronizer::NoteReachable(FeedKind feed,
                                      bool was_failing,
                                      base::TimePoint now) {
  if (feed == FeedKind::kEndpoints)
    directory_.NoteStoreBack(now);
  if (!was_failing)
    return;
  context_.Log(base::LogEventId::kPlatformReachable, "",
               {{"feed", std::string(ToText(feed))}});
  AskOthersAnew(feed);
}

// A call that the store held when it went away is answered by nobody, and fails
// only when its time is over. So what one feed has seen counts for all whose
// calls began before.
void StoreSynchronizer::AskOthersAnew(FeedKind feed) {
  const base::TimePoint seen = FollowerOf(feed).call_began();
  for (FeedFollower& follower : followers_)
    follower.RestartCallBegunBefore(seen);
}

void StoreSynchronizer::LogUnreadable(FeedKind feed, const FeedRow& row) {
  if (const auto* it = std::get_if<RowUnreadable>(&row.content))
    context_.Log(base::LogEventId::kPlatformRowUnreadable, "",
                 {{"feed", std::string(ToText(feed))},
                  {"key", row.key},
                  {"reason", it->reason}});
}

void StoreSynchronizer::Take(FeedKind feed,
                             const FeedFollower::Update& update,
                             base::TimePoint now) {
  for (const FeedRow& row : update.rows)
    LogUnreadable(feed, row);
  if (feed != FeedKind::kConfiguration)
    LedgerOf(feed).Take(update.is_whole, update.rows,
                        FollowerOf(feed).version());
  switch (feed) {
    case FeedKind::kConfiguration:
      if (!update.rows.empty())
        operators_version_ = FollowerOf(feed).version();
      TakeConfiguration(update);
      TakeEvacuations(update);
      return;
    case FeedKind::kEndpoints:
      NoteColdOnes(update, now);
      if (directory_.Apply(update.is_whole, update.rows, now))
        ++endpoint_changes_;
      return;
    case FeedKind::kHosts:
      TakeHosts(update);
      return;
  }
}

// What an entry says counts from when it is heard, which is later than it was
// said: an endpoint is never taken for warm too early. One whose entry doesn't
// tell is cold for as long as its pool's are that start, if it is new.
void StoreSynchronizer::NoteColdOnes(const FeedFollower::Update& update,
                                     base::TimePoint now) {
  for (const FeedRow& row : update.rows) {
    const auto* it = std::get_if<ListedEndpoint>(&row.content);
    if (it == nullptr)
      continue;
    if (it->cold_for) {
      context_.NoteCold(*it, *it->cold_for, now);
      continue;
    }
    const bool is_new = !directory_.is_empty() && !directory_.Lists(*it);
    const ForwardedPool* pool =
        configuration_ ? configuration_->FindPool(it->pool) : nullptr;
    if (is_new && pool != nullptr && pool->cold_start > base::Duration(0))
      context_.NoteCold(*it, pool->cold_start, now);
  }
}

void StoreSynchronizer::TakeConfiguration(const FeedFollower::Update& update) {
  for (const FeedRow& row : update.rows) {
    const auto* it =
        std::get_if<std::shared_ptr<const ForwardConfiguration>>(&row.content);
    if (it == nullptr ||
        (configuration_ && (*it)->revision <= configuration_->revision))
      continue;
    configuration_ = *it;
    ++configuration_changes_;
    context_.Log(base::LogEventId::kConfigurationAdopted, "",
                 {{"revision", std::to_string((*it)->revision)}});
  }
}

void StoreSynchronizer::TakeEvacuations(const FeedFollower::Update& update) {
  const std::map<std::string, base::ZoneName> earlier = evacuations_;
  if (update.is_whole)
    evacuations_.clear();
  for (const FeedRow& row : update.rows) {
    if (const auto* it = std::get_if<ZoneEvacuated>(&row.content))
      evacuations_[row.key] = it->zone;
    else if (std::holds_alternative<RowRemoved>(row.content))
      evacuations_.erase(row.key);
    // A row that can't be read is there all the same.
    else if (const auto known = earlier.find(row.key); known != earlier.end())
      evacuations_.insert(*known);
  }
  if (evacuations_ == earlier)
    return;
  ++endpoint_changes_;
  LogEvacuations(earlier);
}

void StoreSynchronizer::LogEvacuations(
    const std::map<std::string, base::ZoneName>& earlier) {
  for (const auto& [key, zone] : evacuations_) {
    if (!earlier.contains(key))
      context_.Log(base::LogEventId::kZoneEvacuated, "",
                   {{"zone", zone.value}});
  }
  for (const auto& [key, zone] : earlier) {
    if (!evacuations_.contains(key))
      context_.Log(base::LogEventId::kZoneTakenBack, "",
                   {{"zone", zone.value}});
  }
}

std::vector<ListedEndpoint> StoreSynchronizer::endpoints() const {
  std::vector<ListedEndpoint> all = directory_.endpoints();
  for (const auto& [key, zone] : evacuations_) {
    for (ListedEndpoint& it : all) {
      if (it.zone == zone)
        it.state = EndpointState::kEvacuated;
    }
  }
  return all;
}

void StoreSynchronizer::TakeHosts(const FeedFollower::Update& update) {
  if (update.is_whole)
    hosts_.clear();
  for (const FeedRow& row : update.rows) {
    if (const auto* host = std::get_if<PeerHost>(&row.content))
      hosts_[row.key] = *host;
    else if (std::holds_alternative<RowRemoved>(row.content))
      hosts_.erase(row.key);
  }
  ++host_changes_;
}

std::vector<PeerHost> StoreSynchronizer::hosts() const {
  std::vector<PeerHost> all;
  for (const auto& [key, host] : hosts_)
    all.push_back(host);
  return all;
}

bool StoreSynchronizer::NoteLeaving(const base::EndpointName& name,
                                    base::Incarnation incarnation,
                                    base::TimePoint now) {
  if (!directory_.NoteLeaving(name, incarnation, now))
    return false;
  ++endpoint_changes_;
  return true;
}

void StoreSynchronizer::TakeDepartures(
    const std::vector<EndpointDeparture>& departures,
    base::TimePoint now) {
  for (const EndpointDeparture& it : departures) {
    if (!directory_.NoteLeavingByPeer(it, now))
      continue;
    ++endpoint_changes_;
    context_.LogLeaving(it.endpoint, it.incarnation, "peer");
  }
}

void StoreSynchronizer::ChooseRelays() {
  relays_.SetHosts(hosts());
}

void StoreSynchronizer::AskForNews(base::TimePoint now) {
  // Peers tell what has changed since the host read the tables itself.
  if (!HasListedAll())
    return;
  const auto relay = relays_.TakeDue(now);
  if (!relay)
    return;
  RequestStoreSync ask{relay->address, {}};
  for (const FeedKind feed : kRelayedFeeds)
    ask.question.known.push_back({feed, FollowerOf(feed).version()});
  ask.question.departures = directory_.RecentDepartures(now);
  context_.Emit(std::move(ask));
}

bool StoreSynchronizer::HasListedAll() const {
  return std::ranges::all_of(kRelayedFeeds, [this](FeedKind it) {
    return FollowerOf(it).has_listed();
  });
}

void StoreSynchronizer::Handle(const PeerStoreSyncRequested& event,
                               base::TimePoint now) {
  TakeDepartures(event.question.departures, now);
  AnswerStoreSync answer{event.exchange, {}};
  answer.news.notices = {directory_.RecentDepartures(now),
                         context_.conditions().backoffs.Words(now)};
  answer.news.limits = context_.conditions().limits.RecentReports(now);
  answer.news.age = now - told_;
  answer.news.revision = configuration_ ? configuration_->revision : 0;
  answer.news.operators_version = operators_version_;
  for (const KnownVersion& it : event.question.known) {
    answer.news.tables.push_back(LedgerOf(it.feed).UpdateSince(it.version));
  }
  context_.Emit(std::move(answer));
}

void StoreSynchronizer::Handle(StoreSyncReceived event, base::TimePoint now) {
  relays_.NoteAnswered(now);
  // Relays don't ask each other: what one was told reaches the other by those
  // who ask both.
  if (!directory_.RecentDepartures(now).empty())
    relays_.TakeTurns();
  const base::TimePoint holds_until = now - event.news.age + kNewsHolds;
  if (now < holds_until)
    TakeFreshNews(std::move(event.news.tables), holds_until, now);
  else
    SpaceOutFailingCalls();
  const uint64_t own_revision = configuration_ ? configuration_->revision : 0;
  FeedFollower& follower = FollowerOf(FeedKind::kConfiguration);
  const bool knows_less = event.news.operators_version > follower.version();
  if (event.news.revision > own_revision || knows_less)
    follower.RestartCallBegunBefore(now);
}

void StoreSynchronizer::TakeFreshNews(std::vector<TableUpdate> tables,
                                      base::TimePoint holds_until,
                                      base::TimePoint now) {
  told_ = std::max(told_, holds_until - kNewsHolds);
  relayed_until_ = holds_until;
  directory_.NoteStoreBack(now);
  for (TableUpdate& table : tables) {
    FollowerOf(table.feed).DelayCallsUntil(holds_until);
    TakeNews(std::move(table), now);
  }
}

// Old news says that the peer doesn't reach the store, which tells nothing of
// whether this host does. The peer will tell when the store is back for it too;
// only a store that turns peers away and not this host has to be found out.
void StoreSynchronizer::SpaceOutFailingCalls() {
  for (FeedFollower& follower : followers_) {
    if (follower.is_failing())
      follower.DelayCallsUntil(follower.call_began() + kProbeBesidePeers);
  }
}

// Versions never go back, whoever tells them: a peer may have asked the store
// earlier than this host did.
void StoreSynchronizer::TakeNews(TableUpdate news, base::TimePoint now) {
  FeedFollower& follower = FollowerOf(news.feed);
  if (news.version <= follower.version() || !follower.has_listed())
    return;
  follower.NoteRelayed(news.version);
  Take(news.feed, {news.is_whole, std::move(news.rows)}, now);
}

void StoreSynchronizer::Handle(const StoreSyncFailed& event,
                               base::TimePoint now) {
  relays_.NoteFailed(now);
  context_.Log(base::LogEventId::kRelayLost, "", {{"reason", event.detail}});
}

void StoreSynchronizer::Handle(const OwnRowWritten& /*event*/) {
  own_row_due_.reset();
}

void StoreSynchronizer::Handle(const OwnRowFailed& event, base::TimePoint now) {
  context_.Log(base::LogEventId::kPlatformUnreachable, "",
               {{"feed", "own_row"}, {"reason", event.detail}});
  own_row_due_ = now + kOwnRowRetry;
}

void StoreSynchronizer::NoteStopping() {
  own_row_due_.reset();
  context_.Emit(RemoveOwnRow{context_.options().own.name});
}

void StoreSynchronizer::HandleTimer(base::TimePoint now) {
  if (own_row_due_ && *own_row_due_ <= now) {
    own_row_due_.reset();
    context_.Emit(WriteOwnRow{context_.options().own});
  }
  if (directory_.DropMissing(now))
    ++endpoint_changes_;
  AskForNews(now);
  const auto longest_wait = now < relayed_until_   ? kConfigurationPace.wait
                            : now < trouble_until_ ? kWaitInTrouble
                                                   : kWaitAlone;
  for (FeedFollower& follower : followers_) {
    if (auto call = follower.NextCall(now, longest_wait))
      std::visit([this](const auto& it) { context_.Emit(it); }, *call);
  }
}

std::optional<base::TimePoint> StoreSynchronizer::NextWakeup() const {
  std::optional<base::TimePoint> next = own_row_due_;
  const auto consider = [&next](std::optional<base::TimePoint> time) {
    if (time && (!next || *time < *next))
      next = time;
  };
  for (const FeedFollower& follower : followers_)
    consider(follower.NextWakeup());
  consider(directory_.NextWakeup());
  if (HasListedAll())
    consider(relays_.NextWakeup());
  return next;
}

}  // namespace bilberry::forward
