#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "LibForward/cold_endpoints.h"
#include "LibForward/endpoint_backoffs.h"
#include "LibForward/endpoint_limits.h"
#include "LibForward/outlier_ejector.h"

namespace bilberry::forward {

// What bounds what may be sent to endpoints, beside what is listed: what they
// have said of themselves, and how requests and calls there ended. One for all
// paths of a host.
struct EndpointConditions {
  OutlierEjector failures;
  EndpointBackoffs backoffs;
  EndpointLimits limits;
  ColdEndpoints cold_times;

  // What all hosts together may send this life of the endpoint in a second, by
  // the limit that it has named and by its cold time; empty if as much as
  // comes.
  std::optional<double> RateOf(const base::EndpointName& name,
                               base::Incarnation incarnation) const {
    const auto named = limits.RateOf(name, incarnation);
    const auto cold = cold_times.RateOf(name, incarnation);
    return named && cold ? std::min(named, cold) : named ? named : cold;
  }
  // Whether a rate of any of its lives is known.
  bool KnowsRateOf(const base::EndpointName& name) const {
    return limits.Knows(name) || cold_times.Knows(name);
  }
  // Grows with each change of a rate.
  uint64_t rate_changes() const {
    return limits.changes() + cold_times.changes();
  }
};

}  // namespace bilberry::forward
