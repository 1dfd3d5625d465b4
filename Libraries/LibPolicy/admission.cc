#include "LibPolicy/admission.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr std::chrono::milliseconds kMinRetryAfter{100};
constexpr std::chrono::seconds kMaxRetryAfter{30};

}  // namespace

AdmissionDecision DecideAdmission(std::span<const StageForecast> remaining,
                                  base::Duration budget) {
  base::Duration needed{};
  base::Duration margin{};
  for (const StageForecast& stage : remaining) {
    needed += stage.wait + stage.service.typical;
    // All stages being slow at once is rare, so the margin covers only the
    // stage with the largest spread.
    margin = std::max(margin, stage.service.slow - stage.service.typical);
  }
  needed += margin;
  if (needed <= budget)
    return Admitted{};
  // The caller may retry once the excess backlog has been served.
  return DeadlineUnreachable{std::clamp<base::Duration>(
      needed - budget, kMinRetryAfter, kMaxRetryAfter)};
}

}  // namespace bilberry::policy
