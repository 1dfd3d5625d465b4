#pragma once

#include "LibBase/time.h"

namespace bilberry::forward {

// A delay as it was lately: a mean in which each sample counts more than those
// before it, and that fades when no more come.
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
