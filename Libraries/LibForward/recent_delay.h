#pragma once

#include "LibBase/time.h"

namespace bilberry::forward {

// Exponentially weighted moving average of a delay that decays towards zero
// when no new samples arrive.
class RecentDelay {
 public:
  void Note(base::Duration sample, base::TimePoint now);
  // Zero before any sample.
  base::Duration At(base::TimePoint now) const;

 private:
  double mean_ = 0;  // Microseconds.
  base::TimePoint updated_;
};

}  // namespace bilberry::forward
