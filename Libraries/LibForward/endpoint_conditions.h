#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "LibForward/cold_endpoints.h"
#include "LibForward/crash_tracker.h"
#include "LibForward/endpoint_backoffs.h"
#include "LibForward/endpoint_limits.h"
#include "LibForward/endpoint_work_factors.h"
#include "LibForward/outlier_ejector.h"
#include "LibForward/reach_monitor.h"

namespace bilberry::forward {

// State beside the endpoint list that restricts which requests endpoints get:
// ejections after failures, what endpoints announced about themselves, and the
// requests that crash them. One instance is shared by all parts of a host.
struct EndpointConditions {
  OutlierEjector ejector;
  EndpointBackoffs backoffs;
  EndpointLimits limits;
  ColdEndpoints cold_endpoints;
  CrashTracker crashes;
  EndpointWorkFactors work_factors;
  ReachMonitor reach;

  // Returns the rate, in requests per second, that all hosts together may send
  // to this incarnation: the lower of its announced limit and its limit while
  // cold. Empty if unlimited.
  std::optional<double> RateOf(const base::EndpointName& name,
                               base::Incarnation incarnation) const {
    const auto limit_rate = limits.RateOf(name, incarnation);
    const auto cold = cold_endpoints.RateOf(name, incarnation);
    return limit_rate && cold ? std::min(limit_rate, cold)
           : limit_rate       ? limit_rate
                              : cold;
  }
  // Whether a rate limit of any incarnation of the endpoint is known.
  bool KnowsRateOf(const base::EndpointName& name) const {
    return limits.Knows(name) || cold_endpoints.Knows(name);
  }
  // Counter that is incremented with each change of a rate.
  uint64_t rate_changes() const {
    return limits.changes() + cold_endpoints.changes();
  }
};

}  // namespace bilberry::forward
