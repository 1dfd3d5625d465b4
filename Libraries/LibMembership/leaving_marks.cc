#include "LibMembership/leaving_marks.h"

#include <algorithm>
#include <utility>

namespace bilberry::membership {

bool LeavingMarks::Add(const LeavingMark& mark, MarkPropagation propagation) {
  if (!known_.insert(mark).second)
    return false;
  order_.push_back(mark);
  if (order_.size() > kMaxKnownMarks) {
    known_.erase(order_.front());
    order_.pop_front();
  }
  if (propagation == MarkPropagation::kGossip)
    new_marks_.push_back({mark, round_});
  if (new_marks_.size() > kMaxKnownMarks)
    new_marks_.pop_front();
  return true;
}

void LeavingMarks::BeginRound() {
  ++round_;
  marks_to_gossip_.clear();
  ChooseRepeatedMarks();
  ChooseNewMarks();
}

void LeavingMarks::ChooseNewMarks() {
  const size_t count = std::min(new_marks_.size(), kMaxNewMarks);
  for (size_t i = 0; i < count; ++i) {
    GossipedMark gossiped = std::move(new_marks_.front());
    new_marks_.pop_front();
    marks_to_gossip_.push_back(gossiped.mark);
    ++gossiped.count;
    // The least gossiped marks go first when there are too many for one digest.
    (gossiped.count < kNewMarkRounds ? new_marks_ : repeated_marks_)
        .push_back(std::move(gossiped));
  }
}

void LeavingMarks::ChooseRepeatedMarks() {
  while (!repeated_marks_.empty() &&
         (repeated_marks_.size() > kMaxKnownMarks ||
          repeated_marks_.front().began + kRepeatedMarkRounds < round_))
    repeated_marks_.pop_front();
  const size_t count = std::min(repeated_marks_.size(), kMaxRepeatedMarks);
  for (size_t i = 0; i < count; ++i) {
    marks_to_gossip_.push_back(repeated_marks_.front().mark);
    repeated_marks_.push_back(std::move(repeated_marks_.front()));
    repeated_marks_.pop_front();
  }
}

}  // namespace bilberry::membership
