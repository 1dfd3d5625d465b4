#pragma once

#include <array>
#include <compare>
#include <map>

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

// Learns from the last answers how long each stage takes.
class StageTimes {
 public:
  void Note(const StageId& stage, base::Duration latency, base::TimePoint now);

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
  };

  static void Recompute(Window& window);

  std::map<StageId, Window> windows_;
};

}  // namespace bilberry::policy
