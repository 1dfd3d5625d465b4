#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::report {

// Runs that met their deadline, and runs that did not.
struct Counts {
  uint64_t met = 0;
  uint64_t missed = 0;

  uint64_t total() const { return met + missed; }
  Counts& operator+=(const Counts& other);

  friend bool operator==(const Counts&, const Counts&) = default;
};

// Counts over a window that moves with the time, in buckets of equal width. A
// bucket leaves the window as a whole.
class RollingCounts {
 public:
  RollingCounts(base::Duration window, size_t buckets);

  // `now` never goes back.
  void Add(const Counts& counts, base::TimePoint now);
  // Of the window that ends at `now`.
  Counts Sum(base::TimePoint now) const;

 private:
  int64_t SlotAt(base::TimePoint now) const;

  base::Duration width_;
  std::vector<Counts> buckets_;
  int64_t newest_slot_ = 0;
};

}  // namespace bilberry::report
