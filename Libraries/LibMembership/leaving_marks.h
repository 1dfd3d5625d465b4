#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "LibBase/ids.h"

namespace bilberry::membership {

// One incarnation of a host or endpoint that is leaving.
struct LeavingMark {
  std::string name;
  base::Incarnation incarnation{};

  friend auto operator<=>(const LeavingMark&, const LeavingMark&) = default;
};

// Rounds in which a new mark is gossiped.
inline constexpr uint32_t kNewMarkRounds = 12;
// Rounds in which a mark is then repeated round-robin, for peers that were
// partitioned meanwhile.
inline constexpr uint64_t kRepeatedMarkRounds = 900;
// Bounds of new and repeated marks in one digest.
inline constexpr size_t kMaxNewMarks = 32;
inline constexpr size_t kMaxRepeatedMarks = 4;
// Bound of the known marks; the oldest are dropped first.
inline constexpr size_t kMaxKnownMarks = 8192;

// Whether this host gossips a mark or only stores it.
enum class MarkPropagation { kGossip, kStoreOnly };

// All known leaving marks, and the choice of marks to gossip in the current
// round.
class LeavingMarks {
 public:
  // Adds a mark; false when it is known already.
  bool Add(const LeavingMark& mark, MarkPropagation propagation);

  bool Has(const std::string& name, base::Incarnation incarnation) const {
    return known_.contains({name, incarnation});
  }

  // Chooses the marks to gossip in the next round.
  void BeginRound();

  // Marks to gossip in this round; at most kMaxNewMarks + kMaxRepeatedMarks.
  const std::vector<LeavingMark>& marks_to_gossip() const {
    return marks_to_gossip_;
  }

  size_t size() const { return known_.size(); }

 private:
  struct GossipedMark {
    LeavingMark mark;
    uint64_t began = 0;
    uint32_t count = 0;
  };

  void ChooseNewMarks();
  void ChooseRepeatedMarks();

  std::set<LeavingMark> known_;
  std::deque<LeavingMark> order_;  // Order of insertion into known_.
  std::deque<GossipedMark> new_marks_;
  std::deque<GossipedMark> repeated_marks_;
  std::vector<LeavingMark> marks_to_gossip_;
  uint64_t round_ = 0;
};

}  // namespace bilberry::membership
