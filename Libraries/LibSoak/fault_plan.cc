#include "LibSoak/fault_plan.h"

#include "LibBase/random.h"

namespace bilberry::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStretch{8000};
constexpr milliseconds kShortestGap{200};
constexpr milliseconds kLongestGap{1500};
constexpr milliseconds kShortest{200};
constexpr milliseconds kLongest{3000};
constexpr uint64_t kTargets = 1'000'000;
constexpr size_t kPlannedKinds =
    static_cast<size_t>(FaultKind::kEndpointLeaves) + 1;

milliseconds DrawTime(base::Random& random,
                      milliseconds shortest,
                      milliseconds longest) {
  const auto range = static_cast<uint64_t>((longest - shortest).count()) + 1;
  return shortest + milliseconds(random.Below(range));
}

}  // namespace

FaultPlan DrawFaultPlan(uint64_t seed, std::chrono::milliseconds span) {
  base::Random random(seed);
  FaultPlan plan;
  for (milliseconds at = DrawTime(random, kShortestGap, kLongestGap); at < span;
       at += DrawTime(random, kShortestGap, kLongestGap)) {
    const bool is_calm_stretch = (at / kStretch) % 2 == 0;
    const size_t kinds = is_calm_stretch ? kPlannedKinds : kFaultKinds.size();
    PlannedFault fault;
    fault.at = at;
    fault.kind = kFaultKinds.at(random.Below(kinds)).first;
    fault.lasts = DrawTime(random, kShortest, kLongest);
    fault.target = random.Below(kTargets);
    plan.push_back(fault);
  }
  return plan;
}

std::string ToText(const PlannedFault& fault) {
  return std::to_string(fault.at.count()) +
         " ms: " + std::string(ToText(fault.kind)) + " for " +
         std::to_string(fault.lasts.count()) + " ms, target " +
         std::to_string(fault.target);
}

}  // namespace bilberry::soak
