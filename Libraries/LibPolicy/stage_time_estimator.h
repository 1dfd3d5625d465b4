#pragma once

#include <array>
#include <compare>
#include <map>
#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// One stage of one pipeline.
struct StageId {
  base::PipelineName pipeline;
  base::StageName stage;

  friend auto operator<=>(const StageId&, const StageId&) = default;
};

// Estimated service time of a stage.
struct StageEstimate {
  base::Duration typical{};  // The median.
  base::Duration slow{};     // The 90th percentile.
};

// Load of the endpoint when it was sent the answered request.
enum class EndpointLoad { kLight, kHeavy };

// Estimates the service time of each stage from the latencies of recent
// answers.
class StageTimeEstimator {
 public:
  // Records the latency of one answer. `expected` is the initial value of
  // UnloadedLatencyOf().
  void Note(const StageId& stage,
            base::Duration latency,
            EndpointLoad load,
            base::Duration expected,
            base::TimePoint now);

  // Mean latency at an unloaded endpoint; empty before the first answer.
  std::optional<base::Duration> UnloadedLatencyOf(const StageId& stage) const;

  // The estimate from recent answers; `declared` when there are too few or they
  // are too old.
  StageEstimate EstimateOf(const StageId& stage,
                           base::Duration declared,
                           base::TimePoint now) const;

 private:
  static constexpr size_t kWindow = 64;  // In answers.

  struct Window {
    std::array<base::Duration, kWindow> latencies{};
    size_t count = 0;
    base::TimePoint updated;
    StageEstimate estimate;
    // Mean latency at an unloaded endpoint, in microseconds.
    double unloaded = 0;
    double batch_sum = 0;
  };

  static void Restart(Window& window);
  static void Recompute(Window& window);
  static void NoteUnloaded(Window& window, double latency, EndpointLoad load);

  std::map<StageId, Window> windows_;
};

}  // namespace bilberry::policy
