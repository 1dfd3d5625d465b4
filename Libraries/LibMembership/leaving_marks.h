#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "LibBase/ids.h"

namespace bilberry::membership {

// A host or endpoint that is leaving, in this incarnation.
struct LeavingMark {
  std::string name;
  base::Incarnation incarnation{};

  friend auto operator<=>(const LeavingMark&, const LeavingMark&) = default;
};

// A newly heard mark goes into the digests of so many rounds.
inline constexpr uint32_t kFreshRounds = 12;
// After that it is repeated in turn, for peers that were cut off meanwhile.
inline constexpr uint64_t kRepeatedRounds = 900;
// What one digest holds at the most, of each sort.
inline constexpr size_t kMaxFreshMarks = 32;
inline constexpr size_t kMaxRepeatedMarks = 4;
// How many marks are remembered; the oldest go first.
inline constexpr size_t kMaxKnownMarks = 8192;

// Whether a mark has yet to be spread by this host.
enum class MarkPropagation { kGossip, kStoreOnly };

// All leaving marks known, and which of them peers are told in this round.
class LeavingMarks {
 public:
  // False when the mark is known already.
  bool Add(const LeavingMark& mark, MarkPropagation spreading);

  bool Has(const std::string& name, base::Incarnation incarnation) const {
    return known_.contains({name, incarnation});
  }

  // Chooses the marks of the next round of digests.
  void BeginRound();

  // Those of this round; at most kMaxFreshMarks + kMaxRepeatedMarks.
  const std::vector<LeavingMark>& told() const { return told_; }

  size_t size() const { return known_.size(); }

 private:
  struct Telling {
    LeavingMark mark;
    uint64_t began = 0;
    uint32_t count = 0;
  };

  void TellFresh();
  void TellRepeated();

  std::set<LeavingMark> known_;
  std::deque<LeavingMark> order_;  // Of known_, the oldest first.
  std::deque<Telling> fresh_;
  std::deque<Telling> repeated_;
  std::vector<LeavingMark> told_;
  uint64_t round_ = 0;
};

}  // namespace bilberry::membership
