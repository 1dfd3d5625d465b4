#include "LibForward/store_synchronizer.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// Configurations and hosts change rarely, so their feeds use long polls.
// Endpoints write their entries about once a second each, so a long poll would
// return at once; their feed is polled at intervals instead, short enough that
// an endpoint that leaves is noticed within half of its notice period.
constexpr FeedPace kConfigurationPace{std::chrono::milliseconds(0),
                                      std::chrono::milliseconds(25'000)};
constexpr FeedPace kEndpointPace{std::chrono::milliseconds(900),
                                 std::chrono::milliseconds(900)};
constexpr FeedPace kHostPace{std::chrono::milliseconds(500),
                             std::chrono::milliseconds(20'000)};
// For this long after a failed call, long polls are limited to kShortPollWait:
// an answer that the store loses is only noticed when the poll times out, and
// that timeout extends the period again.
constexpr std::chrono::milliseconds kShortPollPeriod{5000};
constexpr std::chrono::milliseconds kShortPollWait{500};
// Longest poll of the configuration while no relay would report a new one.
constexpr std::chrono::milliseconds kWaitWithoutRelay{10'000};
// How long a relay's copy of the tables is valid; after that the host calls the
// store itself. A relay polls the store every 0.9 s and is polled every 0.7 s.
constexpr std::chrono::milliseconds kRelayedValidity{2000};
// Interval between calls of a failing feed while the relays that answer don't
// reach the store either.
constexpr std::chrono::milliseconds kProbeInterval{2000};
constexpr AnswerTimeouts kStoreSyncTimeouts{std::chrono::milliseconds(600),
                                            kStallTimeout};

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
      relays_(context.options().own, context.options().seed + 5),
      evacuated_zones_(context),
      own_row_(context, context.options().seed + 6) {}

std::string_view StoreSynchronizer::NameOf(Source source) {
  return source == Source::kStore ? "store" : "peer";
}

void StoreSynchronizer::Handle(const TableAnswerBegun& event) {
  FollowerOf(event.feed).HandleAnswerBegun();
}

void StoreSynchronizer::Handle(TableListed event, base::TimePoint now) {
  const FeedKind feed = event.feed;
  if (!AcceptAnswer(feed, event.era, now))
    return;
  const bool was_failing = FollowerOf(feed).is_failing();
  auto update = FollowerOf(feed).HandleListed(std::move(event));
  NoteEndpointsAnswered(feed, now);
  NoteReachable(feed, was_failing, now);
  if (update)
    Apply(feed, std::move(*update), Source::kStore, now);
}

void StoreSynchronizer::Handle(TableChanged event, base::TimePoint now) {
  const FeedKind feed = event.feed;
  if (!AcceptAnswer(feed, event.era, now))
    return;
  const bool was_failing = FollowerOf(feed).is_failing();
  auto update = FollowerOf(feed).HandleChanged(std::move(event));
  NoteEndpointsAnswered(feed, now);
  NoteReachable(feed, was_failing, now);
  Apply(feed, std::move(update), Source::kStore, now);
}

void StoreSynchronizer::Handle(const TableHistoryLost& event,
                               base::TimePoint now) {
  if (!AcceptAnswer(event.feed, event.era, now))
    return;
  const bool was_failing = FollowerOf(event.feed).is_failing();
  FollowerOf(event.feed).HandleHistoryLost();
  NoteReachable(event.feed, was_failing, now);
  RestartOlderCalls(event.feed);
}

void StoreSynchronizer::Handle(const TableCallFailed& event,
                               base::TimePoint now) {
  FeedFollower& follower = FollowerOf(event.feed);
  if (!follower.is_failing())
    context_.Log(
        base::LogEventId::kPlatformUnreachable, "",
        {{"feed", std::string(ToText(event.feed))}, {"reason", event.detail}});
  follower.HandleFailed(now);
  relays_.SetStoreFailing(true, now);
  short_polls_until_ = now + kShortPollPeriod;
  if (event.feed == FeedKind::kEndpoints && now >= relayed_until_)
    directory_.NoteStoreLost();
}

// Only the endpoint feed is polled at short intervals even after failures. If
// its answers get lost, answers of the other feeds don't make the endpoint
// table any newer.
void StoreSynchronizer::NoteEndpointsAnswered(FeedKind feed,
                                              base::TimePoint now) {
  if (feed == FeedKind::kEndpoints)
    endpoints_as_of_ = now;
}

void StoreSynchronizer::NoteReachable(FeedKind feed,
                                      bool was_failing,
                                      base::TimePoint now) {
  if (feed == FeedKind::kEndpoints)
    directory_.NoteStoreBack(now);
  if (!was_failing)
    return;
  relays_.SetStoreFailing(IsStoreFailing(), now);
  context_.Log(base::LogEventId::kPlatformReachable, "",
               {{"feed", std::string(ToText(feed))}});
  RestartOlderCalls(feed);
}

// A long poll that was open when the store went away is never answered and
// fails only by its timeout. When one feed has reached the store again, the
// calls of other feeds that began earlier are therefore repeated.
void StoreSynchronizer::RestartOlderCalls(FeedKind feed) {
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

StoreSynchronizer::EraOrder StoreSynchronizer::NoteEra(StoreEra era,
                                                       Source source,
                                                       base::TimePoint now) {
  if (!era || era == era_)
    return EraOrder::kSame;
  if (era_ && *era < *era_)
    return EraOrder::kEarlier;
  const bool is_first =
      !era_ && std::ranges::none_of(followers_, &FeedFollower::has_listed);
  era_ = era;
  if (is_first)
    return EraOrder::kSame;
  BeginEra(source, now);
  return EraOrder::kLater;
}

// What is known stays in use until the store's rows replace it. What this host
// wrote may be lost.
void StoreSynchronizer::BeginEra(Source source, base::TimePoint now) {
  context_.Log(base::LogEventId::kStoreRestored, "",
               {{"era", std::to_string(*era_)},
                {"told_by", std::string(NameOf(source))}});
  for (FeedFollower& it : followers_)
    it.ListRestored();
  for (TableChangeLog& it : change_logs_)
    it.BeginEra();
  ++restorations_;
  operators_version_ = 0;
  fetcher_.BeginEra();
  directory_.NoteStoreRestored(now);
  own_row_.HandleStoreRestored(now);
}

// The first answer of an era only shows that one has begun; the tables are
// listed then. An answer of an earlier era comes from a call made before.
bool StoreSynchronizer::AcceptAnswer(FeedKind feed,
                                     StoreEra era,
                                     base::TimePoint now) {
  const EraOrder order = NoteEra(era, Source::kStore, now);
  if (order == EraOrder::kEarlier)
    FollowerOf(feed).HandleFailed(now);
  return order == EraOrder::kSame;
}

// Endpoints that live write their entries again and again. An entry of a
// restored store that says other than what is known therefore counts only once
// it has been written again.
void StoreSynchronizer::DropUnconfirmed(std::vector<FeedRow>& rows) const {
  if (directory_.is_empty())
    return;
  std::erase_if(rows, [this](const FeedRow& row) {
    const auto* endpoint = std::get_if<ListedEndpoint>(&row.content);
    return endpoint != nullptr && !directory_.Confirms(*endpoint);
  });
}

void StoreSynchronizer::Apply(FeedKind feed,
                              FeedFollower::Update update,
                              Source source,
                              base::TimePoint now) {
  for (const FeedRow& row : update.rows)
    LogUnreadable(feed, row);
  if (update.is_restored && feed == FeedKind::kEndpoints)
    DropUnconfirmed(update.rows);
  else if (update.is_restored)
    // Hosts and operators will write the rows that the store lacks again, so
    // that only a removal takes something away.
    update.is_whole = false;
  ChangeLogOf(feed).Apply(update.is_whole, update.rows,
                          FollowerOf(feed).version());
  switch (feed) {
    case FeedKind::kConfiguration:
      if (!update.rows.empty())
        operators_version_ = FollowerOf(feed).version();
      ApplyConfiguration(update, source);
      if (evacuated_zones_.Apply(update))
        ++endpoint_changes_;
      return;
    case FeedKind::kEndpoints:
      NoteColdEndpoints(update, now);
      if (directory_.Apply(update.is_whole, update.rows, now))
        ++endpoint_changes_;
      return;
    case FeedKind::kHosts:
      ApplyHosts(update, now);
      return;
  }
}

// The cold time stated by an entry counts from its receipt, which is later than
// when it was written, so an endpoint is never taken to be warm too early. A
// new endpoint whose entry states no cold time is cold for its pool's default.
void StoreSynchronizer::NoteColdEndpoints(const FeedFollower::Update& update,
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

void StoreSynchronizer::ApplyConfiguration(const FeedFollower::Update& update,
                                           Source source) {
  for (const FeedRow& row : update.rows) {
    const auto* it =
        std::get_if<std::shared_ptr<const ForwardConfiguration>>(&row.content);
    if (it == nullptr ||
        (configuration_ && (*it)->revision <= configuration_->revision))
      continue;
    configuration_ = *it;
    ++configuration_changes_;
    context_.Log(base::LogEventId::kConfigurationAdopted, "",
                 {{"revision", std::to_string((*it)->revision)},
                  {"told_by", std::string(NameOf(source))}});
  }
}

std::vector<ListedEndpoint> StoreSynchronizer::endpoints() const {
  std::vector<ListedEndpoint> all = directory_.endpoints();
  for (ListedEndpoint& it : all) {
    if (evacuated_zones_.Contains(it.zone))
      it.state = EndpointState::kEvacuated;
  }
  return all;
}

// Another host's row that can't be read stays as it was; this host's own is
// written again.
void StoreSynchronizer::ApplyHosts(const FeedFollower::Update& update,
                                   base::TimePoint now) {
  const std::string& own = context_.options().own.name.value;
  if (update.is_whole)
    hosts_.clear();
  for (const FeedRow& row : update.rows) {
    const bool is_unreadable =
        std::holds_alternative<RowUnreadable>(row.content);
    if (const auto* host = std::get_if<PeerHost>(&row.content))
      hosts_[row.key] = *host;
    else if (std::holds_alternative<RowRemoved>(row.content) ||
             (is_unreadable && row.key == own))
      hosts_.erase(row.key);
  }
  ++host_changes_;
  const auto it = hosts_.find(own);
  own_row_.NoteSeen(it == hosts_.end() ? nullptr : &it->second,
                    FollowerOf(FeedKind::kHosts).version(), hosts_.size(), now);
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

void StoreSynchronizer::ApplyDepartures(
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

void StoreSynchronizer::PollRelay(base::TimePoint now) {
  const auto relay = relays_.TakeDue(now);
  if (!relay)
    return;
  relay_polled_at_ = now;
  polled_relay_ = relay->address;
  RequestStoreSync request{
      StoreSyncKind::kNews, relay->address, {}, kStoreSyncTimeouts};
  request.request.era = era_;
  for (const FeedKind feed : {FeedKind::kEndpoints, FeedKind::kHosts})
    request.request.known.push_back({feed, KnownVersionOf(feed)});
  request.request.departures = directory_.RecentDepartures(now);
  request.request.crashes = context_.conditions().crashes.OwnNews();
  request.request.offer = {context_.options().own.address, OwnOperatorsRows()};
  context_.Emit(std::move(request));
}

void StoreSynchronizer::FetchOperatorsRows(base::TimePoint now) {
  const auto peer =
      fetcher_.TakeDue(AgeOfOperatorsRows(), ConfigurationCall(), now);
  if (!peer)
    return;
  RequestStoreSync request{
      StoreSyncKind::kOperatorsRows, *peer, {}, kStoreSyncTimeouts};
  request.request.era = era_;
  request.request.known = {
      {FeedKind::kConfiguration, KnownVersionOf(FeedKind::kConfiguration)}};
  context_.Emit(std::move(request));
}

void StoreSynchronizer::NoteOffered(const OfferedOperatorsRows& offer,
                                    base::TimePoint now) {
  // The answer to the open call may be lost.
  if (fetcher_.NoteOffered(offer.sender, offer.age, AgeOfOperatorsRows(), now))
    FollowerOf(FeedKind::kConfiguration).RestartCallBegunBefore(now);
}

OperatorsRowsAge StoreSynchronizer::OwnOperatorsRows() const {
  return {configuration_ ? configuration_->revision : 0, operators_version_};
}

OperatorsRowsFetcher::StoreCall StoreSynchronizer::ConfigurationCall() const {
  const FeedFollower& follower = FollowerOf(FeedKind::kConfiguration);
  return {follower.is_failing(), follower.is_answering(),
          follower.call_began()};
}

OperatorsRowsAge StoreSynchronizer::AgeOfOperatorsRows() const {
  return {configuration_ ? configuration_->revision : 0,
          KnownVersionOf(FeedKind::kConfiguration)};
}

uint64_t StoreSynchronizer::KnownVersionOf(FeedKind feed) const {
  const FeedFollower& follower = FollowerOf(feed);
  return follower.has_listed() ? follower.version() : 0;
}

bool StoreSynchronizer::IsStoreFailing() const {
  return std::ranges::any_of(
      followers_, [](const FeedFollower& it) { return it.is_failing(); });
}

void StoreSynchronizer::Handle(const PeerStoreSyncRequested& event,
                               base::TimePoint now) {
  const EraOrder order = NoteEra(event.request.era, Source::kPeer, now);
  if (event.request.offer && order != EraOrder::kEarlier)
    NoteOffered(*event.request.offer, now);
  ApplyDepartures(event.request.departures, now);
  CrashTracker& crashes = context_.conditions().crashes;
  crashes.Apply(event.request.crashes, now);
  AnswerStoreSync answer{event.exchange, {}};
  answer.response.notices = {directory_.RecentDepartures(now),
                             context_.conditions().backoffs.ActiveReports(now),
                             crashes.NewsToRepeat(now)};
  answer.response.limits = context_.conditions().limits.RecentReports(now);
  answer.response.age = now - endpoints_as_of_;
  const OperatorsRowsAge own_rows = OwnOperatorsRows();
  answer.response.revision = own_rows.revision;
  answer.response.operators_version = own_rows.version;
  answer.response.era = era_;
  const bool is_comparable = event.request.era == era_;
  for (const KnownVersion& it : event.request.known) {
    if (FollowerOf(it.feed).has_listed())
      answer.response.tables.push_back(
          ChangeLogOf(it.feed).UpdateSince(is_comparable ? it.version : 0));
  }
  context_.Emit(std::move(answer));
}

void StoreSynchronizer::Handle(StoreSyncReceived event, base::TimePoint now) {
  const bool is_fresh = event.response.age < kRelayedValidity;
  const bool is_earlier =
      NoteEra(event.response.era, Source::kPeer, now) == EraOrder::kEarlier;
  if (event.kind == StoreSyncKind::kNews)
    HandleNews(event.response, is_earlier, now);
  for (TableUpdate& it : event.response.tables) {
    // What operators have written holds, however long ago the sender heard it;
    // an outdated copy of the other tables may lack an endpoint that lives.
    if (is_earlier || (!is_fresh && it.feed != FeedKind::kConfiguration))
      continue;
    if (event.kind == StoreSyncKind::kNews)
      FollowerOf(it.feed).NoteRelayedAsOf(relay_polled_at_ -
                                          event.response.age);
    ApplyUpdate(std::move(it), now);
  }
  if (event.kind != StoreSyncKind::kOperatorsRows)
    return;
  fetcher_.NoteEnded();
  // The store hasn't answered meanwhile, so its answer may be lost. The next
  // call only asks for what comes after the peer's rows.
  FollowerOf(FeedKind::kConfiguration).RestartCallBegunBefore(now);
}

void StoreSynchronizer::HandleNews(const StoreSyncResponse& response,
                                   bool is_earlier,
                                   base::TimePoint now) {
  const base::TimePoint valid_until = now - response.age + kRelayedValidity;
  const bool is_fresh = !is_earlier && now < valid_until;
  const bool needs_copy = relays_.has_relays() || IsStoreFailing();
  relays_.NoteAnswered(now, needs_copy && !is_fresh);
  // Relays don't poll each other. Hosts that poll both relays in turn carry
  // departures from one to the other.
  if (!directory_.RecentDepartures(now).empty())
    relays_.RotateRelay();
  if (!is_earlier)
    NoteOffered(
        {polled_relay_, {response.revision, response.operators_version}}, now);
  if (is_fresh)
    NoteFreshCopy(valid_until, now);
  else if (relays_.has_relays())
    SpaceOutFailingCalls();
}

// A copy from a relay replaces this host's own calls. The configuration's long
// poll stays open beside it, as nothing else brings a change at once.
void StoreSynchronizer::NoteFreshCopy(base::TimePoint valid_until,
                                      base::TimePoint now) {
  endpoints_as_of_ = std::max(endpoints_as_of_, valid_until - kRelayedValidity);
  relayed_until_ = std::max(relayed_until_, valid_until);
  directory_.NoteStoreBack(now);
  if (!relays_.has_relays())
    return;
  for (const FeedKind feed : {FeedKind::kEndpoints, FeedKind::kHosts}) {
    if (FollowerOf(feed).has_listed())
      FollowerOf(feed).DelayCallsUntil(valid_until);
  }
}

// An outdated copy means that the relay doesn't reach the store, but not that
// this host can't reach it. The relay will report when the store is back for
// both; own calls at long intervals only serve the case of a store that rejects
// relays but not this host.
void StoreSynchronizer::SpaceOutFailingCalls() {
  for (FeedFollower& follower : followers_) {
    if (follower.is_failing())
      follower.DelayCallsUntil(follower.call_began() + kProbeInterval);
  }
}

// Ignores updates older than the known version: the relay may have called the
// store earlier than this host did.
void StoreSynchronizer::ApplyUpdate(TableUpdate update, base::TimePoint now) {
  FeedFollower& follower = FollowerOf(update.feed);
  if (!follower.CanUse(update))
    return;
  const FeedKind feed = update.feed;
  Apply(feed, follower.TakeRelayed(std::move(update)), Source::kPeer, now);
}

void StoreSynchronizer::Handle(const StoreSyncFailed& event,
                               base::TimePoint now) {
  if (event.kind == StoreSyncKind::kOperatorsRows)
    fetcher_.NoteEnded();
  else
    relays_.NoteFailed(now);
  if (relays_.has_relays())
    context_.Log(base::LogEventId::kRelayLost, "", {{"reason", event.detail}});
}

void StoreSynchronizer::Handle(const OwnRowWritten& event,
                               base::TimePoint now) {
  if (AcceptOwnRowAnswer(event.era, now))
    own_row_.HandleWritten(event.version, now);
}

void StoreSynchronizer::Handle(const OwnRowConflict& event,
                               base::TimePoint now) {
  if (AcceptOwnRowAnswer(event.era, now))
    own_row_.HandleConflict(event.fence, now);
}

// What an answer of another era tells of versions can't be used.
bool StoreSynchronizer::AcceptOwnRowAnswer(StoreEra era, base::TimePoint now) {
  if (NoteEra(era, Source::kStore, now) == EraOrder::kSame)
    return true;
  own_row_.HandleFailed(now);
  return false;
}

void StoreSynchronizer::Handle(const OwnRowFailed& event, base::TimePoint now) {
  context_.Log(base::LogEventId::kPlatformUnreachable, "",
               {{"feed", "own_row"}, {"reason", event.detail}});
  own_row_.HandleFailed(now);
}

void StoreSynchronizer::NoteStopping(base::TimePoint now) {
  own_row_.Remove(now);
}

void StoreSynchronizer::HandleTimer(base::TimePoint now) {
  own_row_.HandleTimer(now);
  if (directory_.DropMissing(now))
    ++endpoint_changes_;
  PollRelay(now);
  const auto longest_wait = now < relayed_until_       ? kConfigurationPace.wait
                            : now < short_polls_until_ ? kShortPollWait
                                                       : kWaitWithoutRelay;
  for (FeedFollower& follower : followers_) {
    const bool is_asked_for_lack =
        &follower == &FollowerOf(FeedKind::kConfiguration) &&
        fetcher_.is_store_to_be_asked();
    const auto call = follower.NextCall(
        now, is_asked_for_lack ? std::chrono::milliseconds(0) : longest_wait);
    if (!call)
      continue;
    if (is_asked_for_lack)
      fetcher_.NoteStoreAsked();
    std::visit([this](const auto& it) { context_.Emit(it); }, *call);
  }
  // Behind the calls to the store: one that has just begun goes first.
  FetchOperatorsRows(now);
}

std::optional<base::TimePoint> StoreSynchronizer::NextWakeup() const {
  std::optional<base::TimePoint> next = own_row_.NextWakeup();
  const auto consider = [&next](std::optional<base::TimePoint> time) {
    if (time && (!next || *time < *next))
      next = time;
  };
  for (const FeedFollower& follower : followers_)
    consider(follower.NextWakeup());
  consider(directory_.NextWakeup());
  consider(relays_.NextWakeup());
  consider(fetcher_.NextWakeup(ConfigurationCall()));
  return next;
}

}  // namespace bilberry::forward
