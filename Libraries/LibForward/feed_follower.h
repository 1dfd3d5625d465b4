#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/forward_action.h"
#include "LibForward/forward_event.h"

namespace bilberry::forward {

// How one table is followed.
struct FeedPace {
  // Between the beginnings of two calls, at the least.
  std::chrono::milliseconds interval{0};
  // How long the store may hold a call until something has changed.
  std::chrono::milliseconds wait{10'000};
};

// Follows one table of the store: lists it whole, then asks for changes, one
// call at a time.
class FeedFollower {
 public:
  // What came of an answer, for those who keep the rows.
  struct Update {
    bool is_whole = false;  // The rows are all there are.
    std::vector<FeedRow> rows;
  };

  FeedFollower(FeedKind feed, FeedPace pace, uint64_t seed)
      : feed_(feed), pace_(pace), random_(seed) {}

  // The next call, when one is due; the store may hold it for `longest_wait`.
  std::optional<std::variant<ListTable, FollowTable>> NextCall(
      base::TimePoint now,
      std::chrono::milliseconds longest_wait =
          std::chrono::milliseconds::max());

  // Empty until the last page is there.
  std::optional<Update> HandleListed(TableListed event);
  Update HandleChanged(TableChanged event);
  void HandleHistoryLost();
  void HandleFailed(base::TimePoint now);
  // Makes the next call at once, in place of one under way that began before
  // `time`; an answer to that one must not be handed in any more.
  void RestartCallBegunBefore(base::TimePoint time);

  // A peer has told what there is up to this version.
  void NoteRelayed(uint64_t version) { version_ = std::max(version_, version); }
  // No call begins before then.
  void DelayCallsUntil(base::TimePoint time) {
    not_before_ = std::max(not_before_, time);
  }
  uint64_t version() const { return version_; }
  // Whether the table has been read as a whole.
  bool has_listed() const { return phase_ == Phase::kFollowing; }

  // Empty while a call is under way.
  std::optional<base::TimePoint> NextWakeup() const;
  bool is_failing() const { return failures_ > 0; }
  // When the last call began.
  base::TimePoint call_began() const { return call_began_; }

 private:
  enum class Phase { kListing, kFollowing };

  FeedKind feed_;
  FeedPace pace_;
  base::Random random_;
  Phase phase_ = Phase::kListing;
  bool is_calling_ = false;
  uint32_t failures_ = 0;  // In a row.
  base::TimePoint call_began_;
  base::TimePoint not_before_;
  uint64_t version_ = 0;
  std::vector<FeedRow> pages_;
};

}  // namespace bilberry::forward
