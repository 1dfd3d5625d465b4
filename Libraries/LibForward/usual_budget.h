#pragma once

#include <array>

#include "LibBase/time.h"

namespace bilberry::forward {

// The time that callers of one pipeline give a request that they send for the
// first time: the most that any gave lately. One that gives less has waited
// before, was refused and comes back.
class UsualBudget {
 public:
  // How long the caller has waited before, by what it gives now.
  base::Duration WaitedBefore(base::Duration budget, base::TimePoint now);

 private:
  // The most of this span of time and of the one before.
  std::array<base::Duration, 2> most_{};
  base::TimePoint span_began_;
};

}  // namespace bilberry::forward
