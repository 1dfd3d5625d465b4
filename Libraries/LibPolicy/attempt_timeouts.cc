#include "LibPolicy/attempt_timeouts.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

// Weights of RFC 6298 section 2: a new value counts an eighth in the mean and
// a quarter in the deviation, of which four are added to the mean.
constexpr int kMeanShare = 8;
constexpr int kDeviationShare = 4;
constexpr int kDeviations = 4;

}  // namespace

void AttemptTimeouts::Record(const StageKey& stage, base::Duration time) {
  // Paths of former configurations; those in use are learned anew.
  if (estimates_.size() >= kMaxTrackedStages && !estimates_.contains(stage))
    estimates_.clear();
  const auto [it, is_first] =
      estimates_.try_emplace(stage, Estimate{time, time / 2});
  if (is_first)
    return;
  Estimate& estimate = it->second;
  const base::Duration error = time - estimate.mean;
  estimate.deviation +=
      (std::chrono::abs(error) - estimate.deviation) / kDeviationShare;
  estimate.mean += error / kMeanShare;
}

base::Duration AttemptTimeouts::TimeoutOf(const StageKey& stage,
                                          base::Duration declared) const {
  const auto it = estimates_.find(stage);
  const base::Duration usual_at_most =
      it == estimates_.end()
          ? declared * kUnmeasuredTimeoutFactor
          : it->second.mean + it->second.deviation * kDeviations;
  return std::max<base::Duration>(kMinAttemptTimeout,
                                  usual_at_most * kAttemptTimeoutFactor);
}

}  // namespace bilberry::policy
