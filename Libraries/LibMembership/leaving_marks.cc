#include "LibMembership/leaving_marks.h"

#include <algorithm>
#include <utility>

namespace bilberry::membership {

bool LeavingMarks::Add(const LeavingMark& mark, MarkPropagation spreading) {
  if (!known_.insert(mark).second)
    return false;
  order_.push_back(mark);
  if (order_.size() > kMaxKnownMarks) {
    known_.erase(order_.front());
    order_.pop_front();
  }
  if (spreading == MarkPropagation::kGossip)
    fresh_.push_back({mark, round_});
  if (fresh_.size() > kMaxKnownMarks)
    fresh_.pop_front();
  return true;
}

void LeavingMarks::BeginRound() {
  ++round_;
  told_.clear();
  TellRepeated();
  TellFresh();
}

void LeavingMarks::TellFresh() {
  const size_t count = std::min(fresh_.size(), kMaxFreshMarks);
  for (size_t i = 0; i < count; ++i) {
    Telling telling = std::move(fresh_.front());
    fresh_.pop_front();
    told_.push_back(telling.mark);
    ++telling.count;
    // Those told the least are told first, when there are too many.
    (telling.count < kFreshRounds ? fresh_ : repeated_)
        .push_back(std::move(telling));
  }
}

void LeavingMarks::TellRepeated() {
  while (!repeated_.empty() &&
         (repeated_.size() > kMaxKnownMarks ||
          repeated_.front().began + kRepeatedRounds < round_))
    repeated_.pop_front();
  const size_t count = std::min(repeated_.size(), kMaxRepeatedMarks);
  for (size_t i = 0; i < count; ++i) {
    told_.push_back(repeated_.front().mark);
    repeated_.push_back(std::move(repeated_.front()));
    repeated_.pop_front();
  }
}

}  // namespace bilberry::membership
