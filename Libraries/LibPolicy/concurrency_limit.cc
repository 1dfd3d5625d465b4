#include "LibPolicy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace bilberry::policy {

namespace {

constexpr double kSmallestLimit = 1;
constexpr double kLimitCeiling = 512;  // Requests at one endpoint.
constexpr double kSlowdownWeight = 0.1;
constexpr std::chrono::duration<double> kSlowdownFades{5.0};
// So much slower than an unloaded endpoint is no sign of a queue.
constexpr double kTolerance = 1.2;
// Requests that a limit in use grows by in a round trip.
constexpr double kGrowth = 1;
constexpr double kShrinkFactor = 0.85;
// A limit that isn't used says nothing of the next one.
constexpr double kUsedPart = 0.8;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t start)
    : limit_(std::clamp<double>(start, kSmallestLimit, kLimitCeiling)) {}

void ConcurrencyLimit::NoteAnswer(double slowdown,
                                  double load,
                                  base::TimePoint now) {
  last_answer_ = now;
  slowdown_ += kSlowdownWeight * (slowdown - slowdown_);
  // Both at once, so that all entry hosts, which see the same slowdown, come to
  // the same limit wherever they began.
  const double shrinkage = limit_ * (1 - std::min(1.0, kTolerance / slowdown_));
  const double growth = IsUsed(load) ? kGrowth : 0;
  limit_ = std::clamp(limit_ + (growth - shrinkage) / limit_, kSmallestLimit,
                      kLimitCeiling);
}

bool ConcurrencyLimit::IsUsed(double load) const {
  const bool fits_no_more = load + 1 > limit_;
  return fits_no_more || load >= kUsedPart * limit_;
}

double ConcurrencyLimit::SlowdownAt(base::TimePoint now) const {
  const std::chrono::duration<double> silence = now - last_answer_;
  return 1 + (slowdown_ - 1) * std::exp(-(silence / kSlowdownFades));
}

// Once a round trip: what was sent before the last step says nothing of it.
void ConcurrencyLimit::NoteOverload(base::Duration round_trip,
                                    base::TimePoint now) {
  if (now < may_shrink_at_)
    return;
  may_shrink_at_ = now + round_trip;
  limit_ = std::max(limit_ * kShrinkFactor, kSmallestLimit);
}

}  // namespace bilberry::policy
