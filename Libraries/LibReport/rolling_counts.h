#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::report {

// Number of runs that met their deadline, and of runs that missed it.
struct Counts {
  uint64_t met = 0;
  uint64_t missed = 0;

  uint64_t total() const { return met + missed; }
  Counts& operator+=(const Counts& other);

  friend bool operator==(const Counts&, const Counts&) = default;
};

// Sliding-window counter with buckets of equal width. A bucket expires as a
// whole.
class RollingCounts {
 public:
  RollingCounts(base::Duration window, size_t buckets);

  // `now` must not decrease between calls.
  void Add(const Counts& counts, base::TimePoint now);
  // The sum over the window that ends at `now`.
  Counts Sum(base::TimePoint now) const;

 private:
  int64_t SlotAt(base::TimePoint now) const;

  base::Duration width_;
  std::vector<Counts> buckets_;
  int64_t newest_slot_ = 0;
};

}  // namespace bilberry::report
