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

AnswerTimeouts TimeoutsOf(const std::variant<ListTable, FollowTable>& action) {
  return std::visit([](const auto& call) { return call.timeouts; }, action);
}

// The size of rows in an answer of the store, or of another host, in bytes.
enum class Sender { kStore, kPeer };
size_t SizeOf(const std::vector<FeedRow>& rows, Sender sender) {
  constexpr size_t kRowBytes = 300;
  size_t bytes = 0;
  for (const FeedRow& row : rows) {
    bytes += kRowBytes;
    const auto* it =
        std::get_if<std::shared_ptr<const ForwardConfiguration>>(&row.content);
    if (it == nullptr)
      continue;
    // The store encodes values in base64, hosts escape quotes.
    const size_t size = (*it)->document.size();
    bytes += sender == Sender::kStore ? size * 4 / 3 : size * 6 / 5;
  }
  return bytes;
}

size_t SizeOf(const Event& answer) {
  constexpr size_t kHeadBytes = 300;
  if (const auto* listed = std::get_if<TableListed>(&answer))
    return kHeadBytes + SizeOf(listed->rows, Sender::kStore);
  if (const auto* changed = std::get_if<TableChanged>(&answer))
    return kHeadBytes + SizeOf(changed->rows, Sender::kStore);
  return kHeadBytes;
}

size_t SizeOf(const StoreSyncResponse& response) {
  size_t bytes = 600;
  for (const TableUpdate& it : response.tables)
    bytes += SizeOf(it.rows, Sender::kPeer);
  return bytes;
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

void StoreFleet::LimitLinks(const LinkLimits& limits) {
  std::vector<double> mbps;
  for (size_t i = 0; i < hosts_.size(); ++i)
    mbps.push_back(HostOf(i).link_mbps * (1 - limits.load));
  mbps.push_back(limits.store_mbps);
  links_.emplace(std::move(mbps));
  if (limits.answer_mbps)
    links_->LimitTransfersFrom(hosts_.size(), *limits.answer_mbps);
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
  for (const auto& [feed, call] : it.calls)
    DropTransfer(call.transfer);
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
  for (auto& [feed, call] : hosts_[host].calls) {
    call.is_lost |= LosesAnswer(access, feed);
    if (call.is_lost && call.transfer)
      links_->Stall(*call.transfer);
  }
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

void StoreFleet::WriteConfiguration(uint64_t revision, size_t routes) {
  constexpr size_t kRouteBytes = 235;
  ForwardConfiguration configuration;
  configuration.revision = revision;
  configuration.document = std::to_string(revision);
  configuration.document.resize(configuration.document.size() +
                                routes * kRouteBytes);
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
  if (links_)
    links_->Advance(milliseconds(kStepMs));
  EndPolls();
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
    hosts_[it.to].synchronizer->Handle(
        std::get<PeerStoreSyncRequested>(it.event), now());
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
      BeginPoll(host, std::move(*sync));
    } else if (auto* answer = std::get_if<AnswerStoreSync>(&action)) {
      AnswerPoll(host, std::move(*answer));
    }
  }
}

void StoreFleet::BeginPoll(size_t host, RequestStoreSync request) {
  ++poll_count_;
  const size_t to = FindHost(request.address).value();
  if (!is_running(to)) {
    hosts_[host].synchronizer->Handle(StoreSyncFailed{"refused", request.kind},
                                      now());
    return;
  }
  const PeerExchangeId exchange{++last_exchange_};
  polls_[exchange] = {host,
                      hosts_[host].starts,
                      request.kind,
                      now_ms_,
                      request.timeouts,
                      {},
                      {},
                      {}};
  messages_.push_back(
      {now_ms_ + kPeerDelayMs, to,
       PeerStoreSyncRequested{exchange, std::move(request.request)}});
}

void StoreFleet::AnswerPoll(size_t host, AnswerStoreSync answer) {
  const auto it = polls_.find(answer.exchange);
  if (it == polls_.end())
    return;
  Poll& poll = it->second;
  poll.response = std::move(answer.response);
  poll.answered_at = now_ms_;
  if (links_)
    poll.transfer = links_->Begin(host, poll.host, SizeOf(poll.response));
}

bool StoreFleet::IsWhole(const Poll& poll) const {
  return poll.answered_at && now_ms_ >= *poll.answered_at + kPeerDelayMs &&
         (!poll.transfer || links_->is_whole(*poll.transfer));
}

void StoreFleet::EndPolls() {
  struct Ended {
    Poll poll;
    bool is_whole = false;
  };
  std::vector<Ended> ended;
  for (auto it = polls_.begin(); it != polls_.end();) {
    Poll& poll = it->second;
    const bool is_whole = IsWhole(poll);
    if (!is_whole && !HasTimedOut(poll.began, poll.timeouts, poll.transfer)) {
      ++it;
      continue;
    }
    DropTransfer(poll.transfer);
    ended.push_back({std::move(poll), is_whole});
    it = polls_.erase(it);
  }
  for (Ended& it : ended) {
    const size_t host = it.poll.host;
    if (!is_running(host) || hosts_[host].starts != it.poll.start)
      continue;
    StoreSynchronizer& to = *hosts_[host].synchronizer;
    if (it.is_whole)
      to.Handle(StoreSyncReceived{std::move(it.poll.response), it.poll.kind},
                now());
    else
      to.Handle(StoreSyncFailed{"Timeout was reached", it.poll.kind}, now());
  }
}

bool StoreFleet::HasTimedOut(int64_t began,
                             const AnswerTimeouts& timeouts,
                             const std::optional<TransferId>& transfer) const {
  if (transfer)
    return links_->silence(*transfer) >= timeouts.stall;
  return now_ms_ - began >= timeouts.first_byte.count();
}

void StoreFleet::DropTransfer(const std::optional<TransferId>& transfer) {
  if (transfer && links_)
    links_->Cancel(*transfer);
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
  const auto earlier = it.calls.find(feed);
  if (earlier != it.calls.end())
    DropTransfer(earlier->second.transfer);
  it.calls[feed] = {
      std::move(action), now_ms_, LosesAnswer(it.access, feed), {}, TimerDue()};
}

void StoreFleet::AnswerIfDue(size_t host, FeedKind feed) {
  Host& it = hosts_[host];
  const auto found = it.calls.find(feed);
  if (found == it.calls.end())
    return;
  Call& call = found->second;
  const int64_t taken = now_ms_ - call.began;
  if (call.transfer && links_->is_whole(*call.transfer)) {
    DeliverAnswer(host, feed);
    return;
  }
  if (HasTimedOut(call.began, TimeoutsOf(call.action), call.transfer)) {
    DropTransfer(call.transfer);
    it.calls.erase(found);
    it.synchronizer->Handle(TableCallFailed{feed, "Timeout was reached"},
                            now());
    return;
  }
  if (call.is_lost || call.transfer || taken < kAnswerMs)
    return;
  if (it.access == StoreAccess::kRejects) {
    it.calls.erase(found);
    it.synchronizer->Handle(TableCallFailed{feed, "answered 503"}, now());
    return;
  }
  if (!MakeAnswer(call, call.answer))
    return;
  if (!links_) {
    DeliverAnswer(host, feed);
    return;
  }
  call.transfer = links_->Begin(hosts_.size(), host, SizeOf(call.answer));
  it.synchronizer->Handle(TableAnswerBegun{feed});
}

void StoreFleet::DeliverAnswer(size_t host, FeedKind feed) {
  Host& it = hosts_[host];
  Call call = std::move(it.calls.at(feed));
  DropTransfer(call.transfer);
  it.calls.erase(feed);
  if (auto* listed = std::get_if<TableListed>(&call.answer))
    it.synchronizer->Handle(std::move(*listed), now());
  else if (auto* changed = std::get_if<TableChanged>(&call.answer))
    it.synchronizer->Handle(std::move(*changed), now());
  else
    it.synchronizer->Handle(std::get<TableHistoryLost>(call.answer), now());
}

bool StoreFleet::MakeAnswer(const Call& call, Event& answer) const {
  if (const auto* follow = std::get_if<FollowTable>(&call.action))
    return MakeAnswer(*follow, now_ms_ - call.began, answer);
  const FeedKind feed = std::get<ListTable>(call.action).feed;
  answer = TableListed{feed, RowsSince(feed, 0), false, tables_.version, era_};
  return true;
}

bool StoreFleet::MakeAnswer(const FollowTable& follow,
                            int64_t taken,
                            Event& answer) const {
  if (follow.version > tables_.version) {
    answer = TableHistoryLost{follow.feed, era_};
    return true;
  }
  std::vector<FeedRow> rows = RowsSince(follow.feed, follow.version);
  if (rows.empty() && taken < follow.wait.count() + kAnswerMs)
    return false;
  answer = TableChanged{follow.feed, std::move(rows), tables_.version, era_};
  return true;
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
