#include "LibPolicy/concurrency_limit.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr double kSmallestLimit = 1;
constexpr double kLimitCeiling = 512;  // Requests at one endpoint.
constexpr double kSlowdownWeight = 0.1;
// Grows below the first, shrinks above the second.
constexpr double kGrowBelow = 1.2;
constexpr double kShrinkAbove = 1.6;
constexpr double kShrinkFactor = 0.85;
// A limit that isn't used says nothing of the next one.
constexpr double kUsedPart = 0.8;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t start)
    : limit_(std::clamp<double>(start, kSmallestLimit, kLimitCeiling)) {}

void ConcurrencyLimit::NoteAnswer(double slowdown,
                                  double load,
                                  base::Duration latency,
                                  base::TimePoint now) {
  slowdown_ += kSlowdownWeight * (slowdown - slowdown_);
  if (slowdown_ > kShrinkAbove)
    Shrink(latency, now);
  else if (slowdown_ < kGrowBelow && IsUsed(load))
    limit_ = std::min(limit_ + 1 / limit_, kLimitCeiling);
}

bool ConcurrencyLimit::IsUsed(double load) const {
  const bool fits_no_more = load + 1 > limit_;
  return fits_no_more || load >= kUsedPart * limit_;
}

void ConcurrencyLimit::NoteOverload(base::Duration latency,
                                    base::TimePoint now) {
  Shrink(latency, now);
}

// Once a round trip: what was sent before the last step says nothing of it.
void ConcurrencyLimit::Shrink(base::Duration latency, base::TimePoint now) {
  if (now < may_shrink_at_)
    return;
  may_shrink_at_ = now + latency;
  limit_ = std::max(limit_ * kShrinkFactor, kSmallestLimit);
}

}  // namespace bilberry::policy
