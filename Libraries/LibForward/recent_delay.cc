#include "LibForward/recent_delay.h"

#include <algorithm>
#include <cmath>

namespace bilberry::forward {

namespace {

// High enough for the average to follow a burst within a few samples.
constexpr double kSampleWeight = 0.3;
// The average is held for this long after the last sample; then it halves every
// kHalfLife.
constexpr std::chrono::milliseconds kHoldTime{1000};
constexpr std::chrono::milliseconds kHalfLife{1000};

}  // namespace

void RecentDelay::Note(base::Duration sample, base::TimePoint now) {
  const auto present = static_cast<double>(At(now).count());
  mean_ =
      present + kSampleWeight * (static_cast<double>(sample.count()) - present);
  updated_ = now;
}

base::Duration RecentDelay::At(base::TimePoint now) const {
  const base::Duration stale =
      std::max<base::Duration>(now - updated_ - kHoldTime, base::Duration(0));
  const double halvings = std::chrono::duration<double>(stale) /
                          std::chrono::duration<double>(kHalfLife);
  return base::Duration(static_cast<int64_t>(mean_ * std::exp2(-halvings)));
}

}  // namespace bilberry::forward
