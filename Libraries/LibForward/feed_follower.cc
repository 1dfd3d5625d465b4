#include "LibForward/feed_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bilberry::forward {

namespace {

// After a failed call the next one waits: twice as long after each failure in a
// row, up to the longest, and up to half as long again at random so that hosts
// don't come back together. With the time that a call may take, the longest
// bounds how long a feed goes on failing behind the store's return.
constexpr std::chrono::milliseconds kFirstPause{100};
constexpr std::chrono::milliseconds kLongestPause{400};

}  // namespace

std::optional<std::variant<ListTable, FollowTable>> FeedFollower::NextCall(
    base::TimePoint now,
    std::chrono::milliseconds longest_wait) {
  if (is_calling_ || now < not_before_)
    return std::nullopt;
  is_calling_ = true;
  call_began_ = now;
  not_before_ = now + pace_.interval;
  if (phase_ == Phase::kListing)
    return ListTable{feed_, pages_.empty() ? "" : pages_.back().key};
  // A store that has failed may be silent still: a call that it would hold
  // tells that no sooner than its time is over.
  return FollowTable{feed_, version_,
                     is_failing() ? std::chrono::milliseconds(0)
                                  : std::min(pace_.wait, longest_wait)};
}

void FeedFollower::RestartCallBegunBefore(base::TimePoint time) {
  if (!is_calling_ || call_began_ >= time)
    return;
  is_calling_ = false;
  not_before_ = base::TimePoint();
  pages_.clear();
}

std::optional<FeedFollower::Update> FeedFollower::HandleListed(
    TableListed event) {
  is_calling_ = false;
  failures_ = 0;
  // Changes are asked for from the first page on, so that none made between
  // two pages is missed.
  if (pages_.empty())
    version_ = event.version;
  std::ranges::move(event.rows, std::back_inserter(pages_));
  if (event.is_truncated && !pages_.empty()) {
    not_before_ = base::TimePoint();
    return std::nullopt;
  }
  phase_ = Phase::kFollowing;
  return Update{true, std::exchange(pages_, {})};
}

FeedFollower::Update FeedFollower::HandleChanged(TableChanged event) {
  is_calling_ = false;
  failures_ = 0;
  version_ = std::max(version_, event.version);
  return {false, std::move(event.rows)};
}

void FeedFollower::HandleHistoryLost() {
  is_calling_ = false;
  phase_ = Phase::kListing;
  pages_.clear();
}

void FeedFollower::HandleFailed(base::TimePoint now) {
  is_calling_ = false;
  pages_.clear();
  const auto pause = std::min(
      kFirstPause * (int64_t{1} << std::min(failures_, 8U)), kLongestPause);
  ++failures_;
  const auto spread = static_cast<uint64_t>(pause.count() / 2 + 1);
  not_before_ =
      std::max(not_before_,
               now + pause + std::chrono::milliseconds(random_.Below(spread)));
}

std::optional<base::TimePoint> FeedFollower::NextWakeup() const {
  if (is_calling_)
    return std::nullopt;
  return not_before_;
}

}  // namespace bilberry::forward
