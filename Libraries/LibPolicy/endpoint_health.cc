#include "LibPolicy/endpoint_health.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr uint32_t kFailuresToEject = 3;
// Consecutive successes after which the ejection time starts again from
// kFirstEjection.
constexpr uint32_t kSuccessesToReset = 50;
constexpr std::chrono::seconds kFirstEjection{1};
constexpr std::chrono::seconds kMaxEjection{64};
constexpr uint32_t kMaxDoublings = 6;

}  // namespace

HealthState EndpointHealth::state(base::TimePoint now) const {
  if (!is_ejected_)
    return HealthState::kHealthy;
  return now < ejected_until_ ? HealthState::kEjected : HealthState::kHalfOpen;
}

void EndpointHealth::NoteSuccess(base::TimePoint now) {
  if (state(now) == HealthState::kEjected)
    return;
  is_ejected_ = false;
  failures_in_a_row_ = 0;
  if (++successes_in_a_row_ >= kSuccessesToReset)
    ejections_ = 0;
}

void EndpointHealth::NoteFailure(base::TimePoint now) {
  if (state(now) == HealthState::kEjected)
    return;
  successes_in_a_row_ = 0;
  ++failures_in_a_row_;
}

bool EndpointHealth::has_reached_ejection_threshold() const {
  return is_ejected_ ? failures_in_a_row_ > 0
                     : failures_in_a_row_ >= kFailuresToEject;
}

void EndpointHealth::Eject(base::TimePoint now) {
  const uint32_t doublings = std::min(ejections_, kMaxDoublings);
  is_ejected_ = true;
  ejected_until_ =
      now + std::min(kFirstEjection * (1U << doublings), kMaxEjection);
  ++ejections_;
  failures_in_a_row_ = 0;
}

}  // namespace bilberry::policy
