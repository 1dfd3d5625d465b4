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

TEST_CASE("each mark is told in enough rounds, however many come at once") {
  LeavingMarks marks;
  constexpr uint64_t kCount = 300;
  for (uint64_t i = 0; i < kCount; ++i)
    CHECK(marks.Add(MarkOf(i), MarkPropagation::kGossip));
  std::map<LeavingMark, uint32_t> told;
  for (uint64_t i = 0; i < kCount * kFreshRounds / kMaxFreshMarks + 1; ++i) {
    marks.BeginRound();
    CHECK(marks.told().size() <= kMaxFreshMarks + kMaxRepeatedMarks);
    for (const LeavingMark& mark : marks.told())
      ++told[mark];
  }
  for (uint64_t i = 0; i < kCount; ++i)
    CHECK(told[MarkOf(i)] >= kFreshRounds);
}

TEST_CASE("marks are repeated for peers that were cut off, and then rest") {
  LeavingMarks marks;
  marks.Add(MarkOf(1), MarkPropagation::kGossip);
  for (uint64_t i = 0; i < kRepeatedRounds; ++i)
    marks.BeginRound();
  CHECK(marks.told().size() == 1);
  marks.BeginRound();
  marks.BeginRound();
  CHECK(marks.told().empty());
  CHECK(marks.Has("e1", base::Incarnation{1}));
}

TEST_CASE("marks that peers need not hear are kept, not told") {
  LeavingMarks marks;
  CHECK(marks.Add(MarkOf(1), MarkPropagation::kStoreOnly));
  CHECK_FALSE(marks.Add(MarkOf(1), MarkPropagation::kGossip));
  marks.BeginRound();
  CHECK(marks.told().empty());
}

TEST_CASE("the marks known are bounded, and the oldest go first") {
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
