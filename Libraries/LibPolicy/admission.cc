#include "LibPolicy/admission.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr std::chrono::milliseconds kShortestRetryAfter{100};
constexpr std::chrono::seconds kLongestRetryAfter{30};

}  // namespace

AdmissionDecision DecideAdmission(std::span<const StageForecast> remaining,
                                  base::Duration budget) {
  base::Duration needed{};
  base::Duration margin{};
  for (const StageForecast& stage : remaining) {
    needed += stage.wait + stage.service.typical;
    // All stages being slow at once is rare; the worst one is allowed for.
    margin = std::max(margin, stage.service.slow - stage.service.typical);
  }
  needed += margin;
  if (needed <= budget)
    return Admitted{};
  // The wait that is too long has to drain.
  return DeadlineUnreachable{std::clamp<base::Duration>(
      needed - budget, kShortestRetryAfter, kLongestRetryAfter)};
}

}  // namespace bilberry::policy
