#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "LibSoak/fault_plan.h"

namespace bilberry::soak {

TEST_CASE(
    "a seed determines the plan, and different seeds give different plans") {
  const std::chrono::seconds span(60);
  CHECK(DrawFaultPlan(7, span) == DrawFaultPlan(7, span));
  CHECK(DrawFaultPlan(7, span) != DrawFaultPlan(8, span));
}

TEST_CASE(
    "plans have all kinds of faults, sorted by time, and faults overlap") {
  std::set<FaultKind> kinds;
  size_t overlaps = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const FaultPlan plan = DrawFaultPlan(seed, std::chrono::seconds(60));
    CHECK(std::ranges::is_sorted(plan, {}, &PlannedFault::at));
    for (size_t i = 0; i + 1 < plan.size(); ++i)
      overlaps += plan[i].at + plan[i].lasts > plan[i + 1].at ? 1 : 0;
    for (const PlannedFault& fault : plan)
      kinds.insert(fault.kind);
  }
  CHECK(kinds.size() == kFaultKinds.size());
  CHECK(overlaps > 100);
}

TEST_CASE("each plan has stretches with planned work only") {
  const FaultPlan plan = DrawFaultPlan(3, std::chrono::seconds(8));
  REQUIRE(!plan.empty());
  CHECK(std::ranges::all_of(
      plan, [](const PlannedFault& it) { return IsPlanned(it.kind); }));
}

}  // namespace bilberry::soak
