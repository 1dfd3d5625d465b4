#include "LibForward/store_fleet.h"

#include <algorithm>
#include <utility>

#include "LibForward/host_assignment.h"

namespace bilberry::forward {

namespace {

constexpr int64_t kStepMs = 2;
constexpr int64_t kAnswerMs = 4;
constexpr int64_t kPeerDelayMs = 2;
constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kWriteTimeoutMs = 1500;
constexpr int64_t kStopMs = 3000;

PeerHost HostOf(size_t index) {
  constexpr size_t kZones = 3;
  // The first hosts of each zone are large and become its relays.
  const bool is_large = index < 2 * kZones;
  return {{"h" + std::to_string(index)},
          {"10.0.0." + std::to_string(index), 1},
          {"z" + std::to_string(index % kZones)},
          is_large ? 0.5 : 0.12,
          is_large ? 200.0 : 10.0};
}

milliseconds TimeoutOf(const std::variant<ListTable, FollowTable>& action) {
  return std::visit([](const auto& call) { return call.timeout; }, action);
}

bool LosesAnswer(StoreAccess access, FeedKind feed) {
  return access == StoreAccess::kSilent ||
         (access == StoreAccess::kLosesConfiguration &&
          feed == FeedKind::kConfiguration);
}

}  // namespace

StoreFleet::StoreFleet(size_t hosts, uint64_t seed)
    : seed_(seed), hosts_(hosts) {
  for (size_t i = 0; i < hosts; ++i)
    Start(i);
}

void StoreFleet::Start(size_t host) {
  Host& it = hosts_[host];
  ++it.starts;
  ForwardOptions options;
  options.own = HostOf(host);
  options.incarnation = base::Incarnation{it.starts};
  options.seed = (seed_ * 1000 + host) * 100 + it.starts;
  it.context = std::make_unique<ForwardContext>(std::move(options));
  it.synchronizer = std::make_unique<StoreSynchronizer>(*it.context);
  it.calls.clear();
  it.seen_host_changes = 0;
  it.ends_at.reset();
}

void StoreFleet::Kill(size_t host) {
  hosts_[host].synchronizer.reset();
  hosts_[host].ends_at.reset();
}

void StoreFleet::Stop(size_t host) {
  Host& it = hosts_[host];
  it.synchronizer->NoteStopping(now());
  it.ends_at = now_ms_ + kStopMs;
}

void StoreFleet::RemoveHostRow(size_t host) {
  Put(FeedKind::kHosts, HostOf(host).name.value, RowRemoved{});
}

void StoreFleet::RunFor(milliseconds time) {
  for (const int64_t end = now_ms_ + time.count(); now_ms_ < end;
       now_ms_ += kStepMs)
    Step();
}

void StoreFleet::SetAccess(size_t host, StoreAccess access) {
  hosts_[host].access = access;
  for (auto& [feed, call] : hosts_[host].calls)
    call.is_lost |= LosesAnswer(access, feed);
}

void StoreFleet::SetAccessOfEach(size_t n, StoreAccess access) {
  for (size_t i = 0; i < hosts_.size(); i += n)
    SetAccess(i, access);
}

void StoreFleet::Put(FeedKind feed,
                     const std::string& key,
                     RowContent content) {
  tables_.rows[feed][key] = {std::move(content), ++tables_.version};
}

void StoreFleet::WriteConfiguration(uint64_t revision) {
  ForwardConfiguration configuration;
  configuration.revision = revision;
  configuration.document = std::to_string(revision);
  Put(FeedKind::kConfiguration, "config",
      std::make_shared<const ForwardConfiguration>(configuration));
}

void StoreFleet::WriteEndpoint(const std::string& name, EndpointState state) {
  Put(FeedKind::kEndpoints, name,
      ListedEndpoint{{name},
                     {"p"},
                     {"z0"},
                     {"10.0.1.1", 80},
                     state,
                     base::Incarnation{1}});
}

void StoreFleet::RemoveEndpoint(const std::string& name) {
  Put(FeedKind::kEndpoints, name, RowRemoved{});
}

void StoreFleet::EvacuateZone(const std::string& zone) {
  Put(FeedKind::kConfiguration, "evacuate/" + zone, ZoneEvacuated{{zone}});
}

void StoreFleet::RestoreStore() {
  tables_ = copy_;
  era_ = *era_ + 1;
}

uint64_t StoreFleet::revision_of(size_t host) const {
  if (!is_running(host))
    return 0;
  const auto configuration = hosts_[host].synchronizer->configuration();
  return configuration == nullptr ? 0 : configuration->revision;
}

size_t StoreFleet::CountOlderThan(uint64_t revision) const {
  size_t n = 0;
  for (size_t i = 0; i < hosts_.size(); ++i)
    n += revision_of(i) < revision ? 1 : 0;
  return n;
}

size_t StoreFleet::CountEndpoint(const std::string& endpoint,
                                 EndpointState state) const {
  return static_cast<size_t>(std::ranges::count_if(hosts_, [&](auto& host) {
    if (host.synchronizer == nullptr)
      return false;
    const auto endpoints = host.synchronizer->endpoints();
    return std::ranges::any_of(endpoints, [&](const ListedEndpoint& it) {
      return it.name.value == endpoint && it.state == state;
    });
  }));
}

size_t StoreFleet::CountServing(const std::string& endpoint) const {
  return CountEndpoint(endpoint, EndpointState::kServing);
}

size_t StoreFleet::CountEvacuated(const std::string& endpoint) const {
  return CountEndpoint(endpoint, EndpointState::kEvacuated);
}

size_t StoreFleet::CountListedHosts() const {
  const auto table = tables_.rows.find(FeedKind::kHosts);
  if (table == tables_.rows.end())
    return 0;
  return static_cast<size_t>(
      std::ranges::count_if(table->second, [](const auto& it) {
        return std::holds_alternative<PeerHost>(it.second.content);
      }));
}

bool StoreFleet::IsTableRight() const {
  std::map<std::string, PeerHost> listed;
  for (const FeedRow& row : RowsSince(FeedKind::kHosts, 0))
    listed.emplace(row.key, std::get<PeerHost>(row.content));
  std::map<std::string, PeerHost> running;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (is_running(i))
      running.emplace(HostOf(i).name.value, HostOf(i));
  }
  return listed == running;
}

size_t StoreFleet::CountLimitOwners(const std::string& endpoint,
                                    const std::string& zone) const {
  size_t n = 0;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (!is_running(i))
      continue;
    HostAssignment assignment(HostOf(i));
    assignment.SetHosts(hosts_[i].synchronizer->hosts());
    n +=
        assignment.IsOwn(assignment.LimitOwnerOf({{endpoint}, {zone}})) ? 1 : 0;
  }
  return n;
}

size_t StoreFleet::FewestKnownHosts() const {
  size_t fewest = hosts_.size();
  for (const Host& it : hosts_) {
    if (it.synchronizer != nullptr)
      fewest = std::min(fewest, it.synchronizer->hosts().size());
  }
  return fewest;
}

// Living endpoints write their entries again and again.
void StoreFleet::RefreshEndpoints() {
  for (auto& [key, row] : tables_.rows[FeedKind::kEndpoints]) {
    const auto* endpoint = std::get_if<ListedEndpoint>(&row.content);
    if (endpoint != nullptr && !endpoint->name.value.starts_with("gone"))
      row.version = ++tables_.version;
  }
}

void StoreFleet::Step() {
  if (now_ms_ % kHeartbeatMs < kStepMs)
    RefreshEndpoints();
  PerformLateWrites();
  std::vector<Message> due;
  std::erase_if(messages_, [&](Message& it) {
    if (it.due > now_ms_)
      return false;
    due.push_back(std::move(it));
    return true;
  });
  for (Message& it : due) {
    if (!is_running(it.to))
      continue;
    StoreSynchronizer& to = *hosts_[it.to].synchronizer;
    if (auto* request = std::get_if<PeerStoreSyncRequested>(&it.event))
      to.Handle(*request, now());
    else
      to.Handle(std::move(std::get<StoreSyncReceived>(it.event)), now());
  }
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].ends_at && now_ms_ >= *hosts_[i].ends_at)
      Kill(i);
    if (is_running(i))
      RunHost(i);
  }
}

void StoreFleet::Deliver(size_t host, const Event& event) {
  StoreSynchronizer& to = *hosts_[host].synchronizer;
  if (const auto* written = std::get_if<OwnRowWritten>(&event))
    to.Handle(*written, now());
  else if (const auto* conflict = std::get_if<OwnRowConflict>(&event))
    to.Handle(*conflict, now());
  else
    to.Handle(std::get<OwnRowFailed>(event), now());
}

Event StoreFleet::Perform(const WriteOwnRow& write) {
  const std::string& name = write.host.name.value;
  OwnRowFence& fence = tables_.fences[name];
  if (fence.version != write.fence.version)
    return OwnRowConflict{era_, fence};
  if (write.fence.is_listed)
    Put(FeedKind::kHosts, name, write.host);
  else
    Put(FeedKind::kHosts, name, RowRemoved{});
  fence = write.fence;
  fence.version = tables_.version;
  return OwnRowWritten{era_, fence.version};
}

void StoreFleet::WriteRow(size_t host, const WriteOwnRow& write) {
  Host& it = hosts_[host];
  ++write_count_;
  if (it.access != StoreAccess::kAnswers) {
    Deliver(host, OwnRowFailed{"answered 503"});
    return;
  }
  if (it.write_delay > milliseconds(0)) {
    late_writes_.push_back({now_ms_ + it.write_delay.count(), write});
    lost_writes_.push_back({now_ms_ + kWriteTimeoutMs, host, it.starts});
    return;
  }
  Deliver(host, Perform(write));
}

void StoreFleet::PerformLateWrites() {
  std::vector<WriteOwnRow> due;
  std::erase_if(late_writes_, [&](const LateWrite& it) {
    if (it.due > now_ms_)
      return false;
    due.push_back(it.write);
    return true;
  });
  for (const WriteOwnRow& it : due)
    Perform(it);
  std::vector<size_t> failed;
  std::erase_if(lost_writes_, [&](const LostWrite& it) {
    if (it.due > now_ms_)
      return false;
    if (is_running(it.host) && hosts_[it.host].starts == it.start)
      failed.push_back(it.host);
    return true;
  });
  for (const size_t host : failed)
    Deliver(host, OwnRowFailed{"Timeout was reached"});
}

void StoreFleet::RunHost(size_t host) {
  for (const FeedKind feed : kFeedKinds)
    AnswerIfDue(host, feed);
  Host& it = hosts_[host];
  if (it.seen_host_changes != it.synchronizer->host_changes()) {
    it.seen_host_changes = it.synchronizer->host_changes();
    it.synchronizer->ChooseRelays();
  }
  it.synchronizer->HandleTimer(now());
  for (Action& action : it.context->TakeActions()) {
    if (const auto* list = std::get_if<ListTable>(&action)) {
      Begin(host, *list);
    } else if (const auto* follow = std::get_if<FollowTable>(&action)) {
      Begin(host, *follow);
    } else if (const auto* write = std::get_if<WriteOwnRow>(&action)) {
      WriteRow(host, *write);
    } else if (auto* sync = std::get_if<RequestStoreSync>(&action)) {
      ++poll_count_;
      if (!is_running(FindHost(sync->address).value())) {
        it.synchronizer->Handle(StoreSyncFailed{"refused"}, now());
        continue;
      }
      const PeerExchangeId exchange{++last_exchange_};
      requesters_[exchange] = host;
      messages_.push_back(
          {now_ms_ + kPeerDelayMs, FindHost(sync->address).value(),
           PeerStoreSyncRequested{exchange, std::move(sync->request)}});
    } else if (auto* answer = std::get_if<AnswerStoreSync>(&action)) {
      messages_.push_back({now_ms_ + kPeerDelayMs,
                           requesters_.at(answer->exchange),
                           StoreSyncReceived{std::move(answer->response)}});
      requesters_.erase(answer->exchange);
    }
  }
}

std::optional<size_t> StoreFleet::FindHost(
    const base::SocketAddress& address) const {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].context->options().own.address == address)
      return i;
  }
  return std::nullopt;
}

void StoreFleet::Begin(size_t host,
                       std::variant<ListTable, FollowTable> action) {
  Host& it = hosts_[host];
  const FeedKind feed =
      std::visit([](const auto& call) { return call.feed; }, action);
  it.calls[feed] = {std::move(action), now_ms_, LosesAnswer(it.access, feed)};
}

void StoreFleet::AnswerIfDue(size_t host, FeedKind feed) {
  Host& it = hosts_[host];
  const auto found = it.calls.find(feed);
  if (found == it.calls.end())
    return;
  const Call call = found->second;
  const int64_t taken = now_ms_ - call.began;
  if (taken >= TimeoutOf(call.action).count()) {
    it.calls.erase(found);
    it.synchronizer->Handle(TableCallFailed{feed, "Timeout was reached"},
                            now());
    return;
  }
  if (call.is_lost || taken < kAnswerMs)
    return;
  if (it.access == StoreAccess::kRejects) {
    it.calls.erase(found);
    it.synchronizer->Handle(TableCallFailed{feed, "answered 503"}, now());
    return;
  }
  if (const auto* follow = std::get_if<FollowTable>(&call.action)) {
    AnswerFollow(host, *follow);
    return;
  }
  it.calls.erase(found);
  it.synchronizer->Handle(
      TableListed{feed, RowsSince(feed, 0), false, tables_.version, era_},
      now());
}

void StoreFleet::AnswerFollow(size_t host, const FollowTable& follow) {
  Host& it = hosts_[host];
  const FeedKind feed = follow.feed;
  const int64_t taken = now_ms_ - it.calls.at(feed).began;
  if (follow.version > tables_.version) {
    it.calls.erase(feed);
    it.synchronizer->Handle(TableHistoryLost{feed, era_}, now());
    return;
  }
  std::vector<FeedRow> rows = RowsSince(feed, follow.version);
  if (rows.empty() && taken < follow.wait.count() + kAnswerMs)
    return;
  it.calls.erase(feed);
  it.synchronizer->Handle(
      TableChanged{feed, std::move(rows), tables_.version, era_}, now());
}

// A listing (version 0) leaves out removed rows.
std::vector<FeedRow> StoreFleet::RowsSince(FeedKind feed,
                                           uint64_t version) const {
  std::vector<FeedRow> rows;
  const auto table = tables_.rows.find(feed);
  if (table == tables_.rows.end())
    return rows;
  for (const auto& [key, row] : table->second) {
    const bool is_removed = std::holds_alternative<RowRemoved>(row.content);
    if (row.version > version && !(version == 0 && is_removed))
      rows.push_back({key, row.content});
  }
  return rows;
}

}  // namespace bilberry::forward
