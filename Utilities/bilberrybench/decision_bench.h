#pragma once

#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"
#include "LibPolicy/pool_scheduler.h"

namespace bilberry::bench {

// Parameters of a measurement.
struct DecisionPlan {
  policy::PolicyKind policy = policy::PolicyKind::kAdaptive;
  size_t endpoints = 50;
  size_t teams = 200;
  size_t queued = 9'999;  // Queue length; each decision offers one more.
  size_t decisions = 100'000;
  uint64_t seed = 1;
};

struct DecisionCost {
  std::chrono::nanoseconds p50{};
  std::chrono::nanoseconds p99{};
};

// Measures scheduling decisions, each from the offer of work to a dispatch,
// with a full queue. The end of an earlier call, which each step also has, is
// not measured.
DecisionCost MeasureDecisions(const DecisionPlan& plan);

}  // namespace bilberry::bench
