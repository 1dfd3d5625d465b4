#include "LibPolicy/attempt_timeouts.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

// Weights of RFC 6298 section 2: a new sample counts for 1/8 of the mean and
// 1/4 of the deviation; the bound is the mean plus four deviations.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviationFactor = 4;

}  // namespace

void AttemptTimeouts::Record(const StageKey& stage, base::Duration time) {
  // A full table mostly holds paths of former configurations. Clearing it drops
  // these; the paths in use are measured again.
  if (estimates_.size() >= kMaxTrackedStages && !estimates_.contains(stage))
    estimates_.clear();
  const auto [it, is_first] =
      estimates_.try_emplace(stage, Estimate{time, time / 2});
  if (is_first)
    return;
  Estimate& estimate = it->second;
  const base::Duration error = time - estimate.mean;
  estimate.deviation +=
      (std::chrono::abs(error) - estimate.deviation) / kDeviationDivisor;
  estimate.mean += error / kMeanDivisor;
}

base::Duration AttemptTimeouts::TimeoutOf(const StageKey& stage,
                                          base::Duration declared) const {
  const auto it = estimates_.find(stage);
  const base::Duration usual_bound =
      it == estimates_.end()
          ? declared * kUnmeasuredTimeoutFactor
          : it->second.mean + it->second.deviation * kDeviationFactor;
  return std::max<base::Duration>(kMinAttemptTimeout,
                                  usual_bound * kAttemptTimeoutFactor);
}

}  // namespace bilberry::policy
