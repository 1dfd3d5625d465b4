#include "LibPolicy/stage_time_estimator.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr size_t kMinSamples = 8;
constexpr size_t kRecomputeInterval = 8;  // In answers.
// Old samples expire, so that a stage that was slow and is therefore no longer
// requested gets another chance.
constexpr std::chrono::seconds kSampleLifetime{5};
constexpr size_t kSlowPercent = 90;
constexpr size_t kPercent = 100;
constexpr size_t kBatchSize = 32;  // In answers.
constexpr double kBatchWeight = 0.25;
constexpr double kSampleWeight = 0.05;
// Caps a sample at this multiple of the estimate, so that one slow endpoint
// does not dominate the pool's estimate.
constexpr double kMaxSampleFactor = 2;

}  // namespace

void StageTimeEstimator::Restart(Window& window) {
  window.count = 0;
  window.batch_sum = 0;
}

void StageTimeEstimator::Note(const StageId& stage,
                              base::Duration latency,
                              EndpointLoad load,
                              base::Duration expected,
                              base::TimePoint now) {
  const auto [it, is_new] = windows_.try_emplace(stage);
  Window& window = it->second;
  if (is_new)
    window.unloaded = std::max(1.0, static_cast<double>(expected.count()));
  if (now - window.updated > kSampleLifetime)
    Restart(window);
  window.latencies[window.count % kWindow] = latency;
  window.updated = now;
  ++window.count;
  if (window.count % kRecomputeInterval == 0)
    Recompute(window);
  NoteUnloaded(window, static_cast<double>(latency.count()), load);
}

// The estimate follows the answers of lightly loaded endpoints. Under sustained
// load there are none; then a batch of answers with a mean below the estimate
// shows that the estimate is too high.
void StageTimeEstimator::NoteUnloaded(Window& window,
                                      double latency,
                                      EndpointLoad load) {
  if (load == EndpointLoad::kLight) {
    const double sample = std::min(latency, kMaxSampleFactor * window.unloaded);
    window.unloaded += kSampleWeight * (sample - window.unloaded);
  }
  window.batch_sum += latency;
  if (window.count % kBatchSize != 0)
    return;
  const double mean = window.batch_sum / kBatchSize;
  window.batch_sum = 0;
  if (mean < window.unloaded)
    window.unloaded += kBatchWeight * (mean - window.unloaded);
}

std::optional<base::Duration> StageTimeEstimator::UnloadedLatencyOf(
    const StageId& stage) const {
  const auto found = windows_.find(stage);
  if (found == windows_.end())
    return std::nullopt;
  return base::Duration(static_cast<int64_t>(found->second.unloaded));
}

void StageTimeEstimator::Recompute(Window& window) {
  auto sorted = window.latencies;
  const size_t n = std::min(window.count, kWindow);
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(n);
  std::sort(sorted.begin(), end);
  window.estimate = {sorted[n / 2], sorted[n * kSlowPercent / kPercent]};
}

StageEstimate StageTimeEstimator::EstimateOf(const StageId& stage,
                                             base::Duration declared,
                                             base::TimePoint now) const {
  const auto found = windows_.find(stage);
  if (found == windows_.end() || found->second.count < kMinSamples ||
      now - found->second.updated > kSampleLifetime)
    return {declared, declared};
  return found->second.estimate;
}

}  // namespace bilberry::policy
