#include "LibForward/feed_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bilberry::forward {

namespace {

// The delay after failed calls doubles from kFirstRetryDelay to kMaxRetryDelay,
// plus jitter of up to half the delay so that hosts don't retry in step. The
// longest delay and the timeout of a call together bound how long a feed keeps
// failing after the store has recovered.
constexpr std::chrono::milliseconds kFirstRetryDelay{100};
constexpr std::chrono::milliseconds kMaxRetryDelay{400};
constexpr std::chrono::milliseconds kListTimeout{1500};
// Added to the time for which the store holds a follow call open, to get the
// timeout until its answer begins. Together with the backoff after a failed
// call it bounds how long a host works without a store that is reachable again.
constexpr std::chrono::milliseconds kFollowMargin{1000};

}  // namespace

std::optional<std::variant<ListTable, FollowTable>> FeedFollower::NextCall(
    base::TimePoint now,
    std::chrono::milliseconds longest_wait) {
  if (is_calling_ || now < not_before_)
    return std::nullopt;
  is_calling_ = true;
  is_answering_ = false;
  call_began_ = now;
  not_before_ = now + pace_.interval;
  if (phase_ == Phase::kListing)
    return ListTable{feed_,
                     listed_rows_.empty() ? "" : listed_rows_.back().key,
                     {kListTimeout, kStallTimeout}};
  // A store that has just failed may still not answer, and a long-poll would
  // only show this at its timeout.
  const auto wait = is_failing() ? std::chrono::milliseconds(0)
                                 : std::min(pace_.wait, longest_wait);
  return FollowTable{
      feed_, version_, wait, {wait + kFollowMargin, kStallTimeout}};
}

void FeedFollower::RestartCallBegunBefore(base::TimePoint time) {
  if (!is_calling_ || is_answering_ || call_began_ >= time)
    return;
  is_calling_ = false;
  not_before_ = base::TimePoint();
  listed_rows_.clear();
}

std::optional<FeedFollower::Update> FeedFollower::HandleListed(
    TableListed event) {
  is_calling_ = false;
  failures_ = 0;
  // A peer has delivered a newer table meanwhile.
  if (has_listed() && event.version < version_) {
    listed_rows_.clear();
    return std::nullopt;
  }
  // The changes since the first page are requested afterwards, so that none
  // made between two pages is missed.
  if (listed_rows_.empty()) {
    version_ = event.version;
    listing_began_ = call_began_;
  }
  std::ranges::move(event.rows, std::back_inserter(listed_rows_));
  if (event.is_truncated && !listed_rows_.empty()) {
    not_before_ = base::TimePoint();
    return std::nullopt;
  }
  phase_ = Phase::kFollowing;
  known_as_of_ = std::max(known_as_of_, listing_began_);
  return Update{true, std::exchange(listed_rows_, {}),
                std::exchange(is_restored_, false)};
}

FeedFollower::Update FeedFollower::HandleChanged(TableChanged event) {
  is_calling_ = false;
  failures_ = 0;
  known_as_of_ = std::max(known_as_of_, call_began_);
  if (event.version < version_)
    return {};
  version_ = event.version;
  return {false, std::move(event.rows)};
}

FeedFollower::Update FeedFollower::TakeRelayed(TableUpdate update) {
  version_ = update.version;
  phase_ = Phase::kFollowing;
  listed_rows_.clear();
  return {update.is_whole, std::move(update.rows),
          std::exchange(is_restored_, false)};
}

void FeedFollower::ListRestored() {
  HandleHistoryLost();
  version_ = 0;
  is_restored_ = true;
  not_before_ = base::TimePoint();
}

void FeedFollower::HandleHistoryLost() {
  is_calling_ = false;
  phase_ = Phase::kListing;
  listed_rows_.clear();
}

void FeedFollower::HandleFailed(base::TimePoint now) {
  is_calling_ = false;
  listed_rows_.clear();
  const auto delay =
      std::min(kFirstRetryDelay * (int64_t{1} << std::min(failures_, 8U)),
               kMaxRetryDelay);
  ++failures_;
  const auto spread = static_cast<uint64_t>(delay.count() / 2 + 1);
  not_before_ =
      std::max(not_before_,
               now + delay + std::chrono::milliseconds(random_.Below(spread)));
}

std::optional<base::TimePoint> FeedFollower::NextWakeup() const {
  if (is_calling_)
    return std::nullopt;
  return not_before_;
}

}  // namespace bilberry::forward
