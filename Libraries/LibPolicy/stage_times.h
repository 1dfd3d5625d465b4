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

// How long a stage takes.
struct StageEstimate {
  base::Duration typical{};  // The median.
  base::Duration slow{};     // Nine in ten take no longer.
};

// How busy the endpoint was that gave an answer.
enum class EndpointLoad { kLight, kHeavy };

// Learns from the last answers how long each stage takes.
class StageTimes {
 public:
  // `expected` is the start for UnloadedLatencyOf().
  void Note(const StageId& stage,
            base::Duration latency,
            EndpointLoad load,
            base::Duration expected,
            base::TimePoint now);

  // The mean time at an endpoint with little to do; empty before any answer.
  std::optional<base::Duration> UnloadedLatencyOf(const StageId& stage) const;

  // What has been learned lately, or else what was declared.
  StageEstimate EstimateOf(const StageId& stage,
                           base::Duration declared,
                           base::TimePoint now) const;

 private:
  static constexpr size_t kWindow = 64;  // Answers.

  struct Window {
    std::array<base::Duration, kWindow> latencies{};
    size_t count = 0;
    base::TimePoint updated;
    StageEstimate estimate;
    double unloaded = 0;  // Microseconds.
    double batch_sum = 0;
  };

  static void Restart(Window& window);
  static void Recompute(Window& window);
  static void NoteUnloaded(Window& window, double latency, EndpointLoad load);

  std::map<StageId, Window> windows_;
};

}  // namespace bilberry::policy
