#include <doctest/doctest.h>

#include <map>
#include <string>

#include "LibMembership/leaving_marks.h"

namespace bilberry::membership {
namespace {

LeavingMark MarkOf(uint64_t number) {
  return {"e" + std::to_string(number), base::Incarnation{number}};
}

TEST_SUITE_BEGIN("promise-5");

TEST_CASE("each of many marks is gossiped in enough rounds") {
  LeavingMarks marks;
  constexpr uint64_t kCount = 300;
  for (uint64_t i = 0; i < kCount; ++i)
    CHECK(marks.Add(MarkOf(i), MarkPropagation::kGossip));
  std::map<LeavingMark, uint32_t> gossip_counts;
  for (uint64_t i = 0; i < kCount * kNewMarkRounds / kMaxNewMarks + 1; ++i) {
    marks.BeginRound();
    CHECK(marks.marks_to_gossip().size() <= kMaxNewMarks + kMaxRepeatedMarks);
    for (const LeavingMark& mark : marks.marks_to_gossip())
      ++gossip_counts[mark];
  }
  for (uint64_t i = 0; i < kCount; ++i)
    CHECK(gossip_counts[MarkOf(i)] >= kNewMarkRounds);
}

TEST_CASE("marks are repeated for partitioned peers for a bounded time") {
  LeavingMarks marks;
  marks.Add(MarkOf(1), MarkPropagation::kGossip);
  for (uint64_t i = 0; i < kRepeatedMarkRounds; ++i)
    marks.BeginRound();
  CHECK(marks.marks_to_gossip().size() == 1);
  marks.BeginRound();
  marks.BeginRound();
  CHECK(marks.marks_to_gossip().empty());
  CHECK(marks.Has("e1", base::Incarnation{1}));
}

TEST_CASE("stored marks are not gossiped") {
  LeavingMarks marks;
  CHECK(marks.Add(MarkOf(1), MarkPropagation::kStoreOnly));
  CHECK_FALSE(marks.Add(MarkOf(1), MarkPropagation::kGossip));
  marks.BeginRound();
  CHECK(marks.marks_to_gossip().empty());
}

TEST_CASE("the known marks are bounded, and the oldest are dropped") {
  LeavingMarks marks;
  for (uint64_t i = 0; i <= kMaxKnownMarks; ++i)
    marks.Add(MarkOf(i), MarkPropagation::kGossip);
  CHECK(marks.size() == kMaxKnownMarks);
  CHECK_FALSE(marks.Has("e0", base::Incarnation{0}));
  CHECK(marks.Has("e1", base::Incarnation{1}));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::membership
