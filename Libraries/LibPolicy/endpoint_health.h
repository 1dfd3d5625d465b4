#pragma once

#include <cstdint>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// Whether an endpoint may be given work, by its last answers.
enum class HealthState {
  kHealthy,
  kEjected,
  kHalfOpen,  // One request at a time, to see whether it is sound again.
};

// That an endpoint was taken out of service, or is in service again.
struct HealthChange {
  base::EndpointName endpoint;
  HealthState state = HealthState::kHealthy;
};

// Ejects an endpoint that fails again and again: a circuit breaker. Each
// ejection lasts twice as long as the one before.
class EndpointHealth {
 public:
  HealthState state(base::TimePoint now) const;
  // Meaningful while it is ejected.
  base::TimePoint ejected_until() const { return ejected_until_; }

  // While it is ejected, answers of earlier requests change nothing.
  void NoteSuccess(base::TimePoint now);
  void NoteFailure(base::TimePoint now);
  // It has failed often enough to be ejected, if the pool can spare it.
  bool has_reached_ejection_threshold() const;
  void Eject(base::TimePoint now);

 private:
  uint32_t failures_in_a_row_ = 0;
  uint32_t successes_in_a_row_ = 0;
  uint32_t ejections_ = 0;
  bool is_ejected_ = false;  // Until a success.
  base::TimePoint ejected_until_;
};

}  // namespace bilberry::policy
