#include "LibPolicy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace bilberry::policy {

namespace {

constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 512;  // Requests at one endpoint.
constexpr double kSlowdownWeight = 0.1;
constexpr std::chrono::duration<double> kSlowdownDecayTime{5.0};
// A slowdown up to this factor does not indicate a queue at the endpoint.
constexpr double kToleratedSlowdown = 1.2;
// Growth of a limit in use, in requests per round trip.
constexpr double kGrowth = 1;
constexpr double kShrinkFactor = 0.85;
// The limit grows only while at least this fraction of it is in use: answers at
// a lower load do not show that a higher limit would hold.
constexpr double kUsedFraction = 0.8;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t start)
    : limit_(std::clamp<double>(start, kMinLimit, kMaxLimit)) {}

void ConcurrencyLimit::NoteAnswer(double slowdown,
                                  double load,
                                  base::TimePoint now) {
  last_answer_ = now;
  slowdown_ += kSlowdownWeight * (slowdown - slowdown_);
  // Growth and shrinkage apply in the same step. All entry hosts see the same
  // slowdown and thereby converge to the same limit from any start value.
  const double shrinkage =
      limit_ * (1 - std::min(1.0, kToleratedSlowdown / slowdown_));
  const double growth = IsUsed(load) ? kGrowth : 0;
  limit_ =
      std::clamp(limit_ + (growth - shrinkage) / limit_, kMinLimit, kMaxLimit);
}

bool ConcurrencyLimit::IsUsed(double load) const {
  const bool has_no_room = load + 1 > limit_;
  return has_no_room || load >= kUsedFraction * limit_;
}

double ConcurrencyLimit::SlowdownAt(base::TimePoint now) const {
  const std::chrono::duration<double> idle_time = now - last_answer_;
  return 1 + (slowdown_ - 1) * std::exp(-(idle_time / kSlowdownDecayTime));
}

// Shrinks at most once per round trip: refusals of requests sent before the
// last reduction do not reflect the reduced limit.
void ConcurrencyLimit::NoteOverload(base::Duration round_trip,
                                    base::TimePoint now) {
  if (now < may_shrink_at_)
    return;
  may_shrink_at_ = now + round_trip;
  limit_ = std::max(limit_ * kShrinkFactor, kMinLimit);
}

}  // namespace bilberry::policy
