#include "LibReport/rolling_counts.h"

#include <algorithm>

namespace bilberry::report {

Counts& Counts::operator+=(const Counts& other) {
  met += other.met;
  missed += other.missed;
  return *this;
}

RollingCounts::RollingCounts(base::Duration window, size_t buckets)
    : width_(window / static_cast<int64_t>(buckets)), buckets_(buckets) {}

int64_t RollingCounts::SlotAt(base::TimePoint now) const {
  return now.time_since_epoch() / width_;
}

void RollingCounts::Add(const Counts& counts, base::TimePoint now) {
  const auto size = static_cast<int64_t>(buckets_.size());
  const int64_t slot = SlotAt(now);
  const int64_t first_stale = std::max(newest_slot_ + 1, slot - size + 1);
  for (int64_t stale = first_stale; stale <= slot; ++stale)
    buckets_[static_cast<size_t>(stale % size)] = {};
  newest_slot_ = std::max(newest_slot_, slot);
  buckets_[static_cast<size_t>(slot % size)] += counts;
}

Counts RollingCounts::Sum(base::TimePoint now) const {
  const auto size = static_cast<int64_t>(buckets_.size());
  Counts sum;
  const int64_t oldest = std::max<int64_t>(SlotAt(now) - size + 1, 0);
  for (int64_t slot = oldest; slot <= newest_slot_; ++slot)
    sum += buckets_[static_cast<size_t>(slot % size)];
  return sum;
}

}  // namespace bilberry::report
