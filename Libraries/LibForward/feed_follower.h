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

// How often and how long the store is called for one table.
struct FeedPace {
  // Minimum time between the starts of two calls.
  std::chrono::milliseconds interval{0};
  // How long the store may hold a call until there are changes.
  std::chrono::milliseconds wait{10'000};
};

// Keeps up with one table of the store: lists the whole table, then long-polls
// for changes, one call at a time.
class FeedFollower {
 public:
  // The rows of one answer, or of all pages of a listing.
  struct Update {
    bool is_whole = false;  // The rows are the whole table.
    std::vector<FeedRow> rows;
    // The rows are of a store that has come back from an older copy, so they
    // may be older than what is known.
    bool is_restored = false;
  };

  FeedFollower(FeedKind feed, FeedPace pace, uint64_t seed)
      : feed_(feed), pace_(pace), random_(seed) {}

  // The next call if one is due. The store may hold it for at most
  // `longest_wait`.
  std::optional<std::variant<ListTable, FollowTable>> NextCall(
      base::TimePoint now,
      std::chrono::milliseconds longest_wait =
          std::chrono::milliseconds::max());

  // Empty until the last page has arrived.
  std::optional<Update> HandleListed(TableListed event);
  // Empty of rows if peers have delivered the table up to a later version:
  // their rows are newer.
  Update HandleChanged(TableChanged event);
  void HandleHistoryLost();
  void HandleFailed(base::TimePoint now);
  // The answer to the call in flight has begun to arrive.
  void HandleAnswerBegun() { is_answering_ = is_calling_; }
  // If a call is in flight that began before `time` and has no answer yet,
  // makes the next call at once in its place. An answer to the earlier call
  // must not be passed in any more.
  void RestartCallBegunBefore(base::TimePoint time);

  // Whether an update from a peer has what this host lacks: a later version
  // and, as long as the table hasn't been listed, all of its rows.
  bool CanUse(const TableUpdate& update) const {
    return update.version > version_ && (update.is_whole || has_listed());
  }
  // Takes over what a peer has delivered.
  Update TakeRelayed(TableUpdate update);
  // What is known holds all that the table held at this time: a peer says so.
  void NoteRelayedAsOf(base::TimePoint time) {
    known_as_of_ = std::max(known_as_of_, time);
  }
  // What is known holds all that the table held at this time. Counts from the
  // beginning of calls: their answers may have waited while this host stood
  // still.
  base::TimePoint known_as_of() const { return known_as_of_; }
  // Lists the table again, because the store has come back from an older copy
  // whose versions can't be compared with the known one. An answer to an
  // earlier call must not be passed in any more.
  void ListRestored();
  // No call begins before `time`.
  void DelayCallsUntil(base::TimePoint time) {
    not_before_ = std::max(not_before_, time);
  }
  uint64_t version() const { return version_; }
  // Whether the whole table has been read.
  bool has_listed() const { return phase_ == Phase::kFollowing; }

  // Empty while a call is in flight.
  std::optional<base::TimePoint> NextWakeup() const;
  bool is_failing() const { return failures_ > 0; }
  // Whether an answer is arriving.
  bool is_answering() const { return is_calling_ && is_answering_; }
  // When the last call began.
  base::TimePoint call_began() const { return call_began_; }

 private:
  enum class Phase { kListing, kFollowing };

  FeedKind feed_;
  FeedPace pace_;
  base::Random random_;
  Phase phase_ = Phase::kListing;
  bool is_restored_ = false;  // The next whole table is of a restored store.
  bool is_calling_ = false;
  bool is_answering_ = false;
  uint32_t failures_ = 0;  // Consecutive failures.
  base::TimePoint call_began_;
  base::TimePoint listing_began_;
  base::TimePoint known_as_of_;
  base::TimePoint not_before_;
  uint64_t version_ = 0;
  std::vector<FeedRow> listed_rows_;
};

}  // namespace bilberry::forward
