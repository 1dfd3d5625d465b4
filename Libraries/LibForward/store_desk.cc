#include "LibForward/store_desk.h"

#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// Configurations and hosts change seldom: the store holds the call until they
// do. Endpoints' entries are written about once a second by each of them, so
// that a call that is held ends at once: they are asked for at intervals, short
// enough that an endpoint which leaves is noticed within half its notice.
constexpr FeedPace kConfigurationPace{std::chrono::milliseconds(0),
                                      std::chrono::milliseconds(10'000)};
constexpr FeedPace kEndpointPace{std::chrono::milliseconds(900),
                                 std::chrono::milliseconds(900)};
constexpr FeedPace kHostPace{std::chrono::milliseconds(500),
                             std::chrono::milliseconds(20'000)};
constexpr std::chrono::milliseconds kOwnRowRetry{700};
// For this long after a failed call the store holds none for longer than
// kWaitInTrouble: an answer that it loses is missed only when the call's time
// is over. Longer than calls are held when all is well, so that each of those
// that were under way has ended.
constexpr std::chrono::milliseconds kTroubleLasts{24'000};
constexpr std::chrono::milliseconds kWaitInTrouble{500};

}  // namespace

StoreDesk::StoreDesk(ForwardContext& context)
    : context_(context),
      followers_{FeedFollower(FeedKind::kConfiguration,
                              kConfigurationPace,
                              context.options().seed + 2),
                 FeedFollower(FeedKind::kEndpoints,
                              kEndpointPace,
                              context.options().seed + 3),
                 FeedFollower(FeedKind::kHosts,
                              kHostPace,
                              context.options().seed + 4)} {}

void StoreDesk::Handle(TableListed event, base::TimePoint now) {
  const FeedKind feed = event.feed;
  const bool was_failing = FollowerOf(feed).is_failing();
  const auto update = FollowerOf(feed).HandleListed(std::move(event));
  NoteReachable(feed, was_failing, now);
  if (update)
    Take(feed, *update, now);
}

void StoreDesk::Handle(TableChanged event, base::TimePoint now) {
  const FeedKind feed = event.feed;
  const bool was_failing = FollowerOf(feed).is_failing();
  const auto update = FollowerOf(feed).HandleChanged(std::move(event));
  NoteReachable(feed, was_failing, now);
  Take(feed, update, now);
}

void StoreDesk::Handle(const TableHistoryLost& event, base::TimePoint now) {
  const bool was_failing = FollowerOf(event.feed).is_failing();
  FollowerOf(event.feed).HandleHistoryLost();
  NoteReachable(event.feed, was_failing, now);
  AskOthersAnew(event.feed);
}

void StoreDesk::Handle(const TableCallFailed& event, base::TimePoint now) {
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

void StoreDesk::NoteReachable(FeedKind feed,
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
void StoreDesk::AskOthersAnew(FeedKind feed) {
  const base::TimePoint seen = FollowerOf(feed).call_began();
  for (FeedFollower& follower : followers_)
    follower.AskAnewIfBegunBefore(seen);
}

void StoreDesk::LogUnreadable(FeedKind feed, const FeedRow& row) {
  if (const auto* it = std::get_if<RowUnreadable>(&row.content))
    context_.Log(base::LogEventId::kPlatformRowUnreadable, "",
                 {{"feed", std::string(ToText(feed))},
                  {"key", row.key},
                  {"reason", it->reason}});
}

void StoreDesk::Take(FeedKind feed,
                     const FeedFollower::Update& update,
                     base::TimePoint now) {
  for (const FeedRow& row : update.rows)
    LogUnreadable(feed, row);
  switch (feed) {
    case FeedKind::kConfiguration:
      TakeConfiguration(update);
      return;
    case FeedKind::kEndpoints:
      if (directory_.Apply(update.is_whole, update.rows, now))
        ++endpoint_changes_;
      return;
    case FeedKind::kHosts:
      TakeHosts(update);
      return;
  }
}

void StoreDesk::TakeConfiguration(const FeedFollower::Update& update) {
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

void StoreDesk::TakeHosts(const FeedFollower::Update& update) {
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

std::vector<PeerHost> StoreDesk::hosts() const {
  std::vector<PeerHost> all;
  for (const auto& [key, host] : hosts_)
    all.push_back(host);
  return all;
}

void StoreDesk::Handle(const OwnRowWritten& /*event*/) {
  own_row_due_.reset();
}

void StoreDesk::Handle(const OwnRowFailed& event, base::TimePoint now) {
  context_.Log(base::LogEventId::kPlatformUnreachable, "",
               {{"feed", "own_row"}, {"reason", event.detail}});
  own_row_due_ = now + kOwnRowRetry;
}

void StoreDesk::NoteStopping() {
  own_row_due_.reset();
  context_.Emit(RemoveOwnRow{context_.options().own.name});
}

void StoreDesk::HandleTimer(base::TimePoint now) {
  if (own_row_due_ && *own_row_due_ <= now) {
    own_row_due_.reset();
    context_.Emit(WriteOwnRow{context_.options().own});
  }
  if (directory_.DropMissing(now))
    ++endpoint_changes_;
  const auto longest_wait =
      now < trouble_until_ ? kWaitInTrouble : std::chrono::milliseconds::max();
  for (FeedFollower& follower : followers_) {
    if (auto call = follower.NextCall(now, longest_wait))
      std::visit([this](const auto& it) { context_.Emit(it); }, *call);
  }
}

std::optional<base::TimePoint> StoreDesk::NextWakeup() const {
  std::optional<base::TimePoint> next = own_row_due_;
  const auto consider = [&next](std::optional<base::TimePoint> time) {
    if (time && (!next || *time < *next))
      next = time;
  };
  for (const FeedFollower& follower : followers_)
    consider(follower.NextWakeup());
  consider(directory_.NextWakeup());
  return next;
}

}  // namespace bilberry::forward
