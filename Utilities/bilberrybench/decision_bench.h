#pragma once

#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"
#include "LibPolicy/pool_scheduler.h"

namespace bilberry::bench {

// What a decision is measured with.
struct DecisionPlan {
  policy::PolicyKind policy = policy::PolicyKind::kAdaptive;
  size_t endpoints = 50;
  size_t teams = 200;
  size_t queued = 9'999;  // One more is offered with each decision.
  size_t decisions = 100'000;
  uint64_t seed = 1;
};

struct DecisionCost {
  std::chrono::nanoseconds p50{};
  std::chrono::nanoseconds p99{};
};

// Measures decisions, each from the offer of work to a dispatch, while so much
// waits. Each ends a call as well, which is not measured.
DecisionCost MeasureDecisions(const DecisionPlan& plan);

}  // namespace bilberry::bench
