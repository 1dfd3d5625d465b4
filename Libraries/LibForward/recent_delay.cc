#include "LibForward/recent_delay.h"

#include <algorithm>
#include <cmath>

namespace bilberry::forward {

namespace {

// The mean follows a burst within a few samples.
constexpr double kSampleWeight = 0.3;
// A mean holds for this long after its last sample; then it halves as often as
// kHalfLife passes.
constexpr std::chrono::milliseconds kHolds{1000};
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
      std::max<base::Duration>(now - updated_ - kHolds, base::Duration(0));
  const double halvings = std::chrono::duration<double>(stale) /
                          std::chrono::duration<double>(kHalfLife);
  return base::Duration(static_cast<int64_t>(mean_ * std::exp2(-halvings)));
}

}  // namespace bilberry::forward
