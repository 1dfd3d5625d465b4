#include "LibPolicy/stage_times.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr size_t kFewestAnswers = 8;
constexpr size_t kRecomputeEvery = 8;  // Answers.
// A stage that was slow and is asked no more has to get another chance.
constexpr std::chrono::seconds kForgetAfter{5};
constexpr size_t kSlowPercent = 90;
constexpr size_t kPercent = 100;

}  // namespace

void StageTimes::Note(const StageId& stage,
                      base::Duration latency,
                      base::TimePoint now) {
  Window& window = windows_[stage];
  if (now - window.updated > kForgetAfter)
    window.count = 0;
  window.latencies[window.count % kWindow] = latency;
  window.updated = now;
  ++window.count;
  if (window.count % kRecomputeEvery == 0)
    Recompute(window);
}

void StageTimes::Recompute(Window& window) {
  auto sorted = window.latencies;
  const size_t n = std::min(window.count, kWindow);
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(n);
  std::sort(sorted.begin(), end);
  window.estimate = {sorted[n / 2], sorted[n * kSlowPercent / kPercent]};
}

StageEstimate StageTimes::EstimateOf(const StageId& stage,
                                     base::Duration declared,
                                     base::TimePoint now) const {
  const auto found = windows_.find(stage);
  if (found == windows_.end() || found->second.count < kFewestAnswers ||
      now - found->second.updated > kForgetAfter)
    return {declared, declared};
  return found->second.estimate;
}

}  // namespace bilberry::policy
