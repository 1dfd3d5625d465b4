#pragma once

#include <cstdint>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// Circuit breaker state of an endpoint, derived from its recent answers.
enum class HealthState {
  kHealthy,
  kEjected,
  kHalfOpen,  // Probing: one request at a time until one succeeds.
};

// An endpoint was ejected from service or returned to it.
struct HealthChange {
  base::EndpointName endpoint;
  HealthState state = HealthState::kHealthy;
};

// Circuit breaker with outlier ejection: ejects an endpoint after consecutive
// failures. The ejection time doubles with each ejection.
class EndpointHealth {
 public:
  HealthState state(base::TimePoint now) const;
  // Meaningful only while the endpoint is ejected.
  base::TimePoint ejected_until() const { return ejected_until_; }

  // Ignored while the endpoint is ejected: the answers belong to requests sent
  // before the ejection.
  void NoteSuccess(base::TimePoint now);
  void NoteFailure(base::TimePoint now);
  // Whether the consecutive failures suffice for an ejection. The caller
  // decides whether the pool can spare the endpoint.
  bool has_reached_ejection_threshold() const;
  void Eject(base::TimePoint now);

 private:
  uint32_t failures_in_a_row_ = 0;
  uint32_t successes_in_a_row_ = 0;
  uint32_t ejections_ = 0;
  bool is_ejected_ = false;  // Stays set in half-open state, until a success.
  base::TimePoint ejected_until_;
};

}  // namespace bilberry::policy
