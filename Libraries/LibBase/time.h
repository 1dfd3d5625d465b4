#pragma once

#include <chrono>

namespace bilberry::base {

using Duration = std::chrono::microseconds;

// The monotonic time of one host's core. It has no now(): time is passed in,
// and never compared between hosts.
struct CoreClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  // The name is the standard's ([time.clock.req]).
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using TimePoint = CoreClock::time_point;

}  // namespace bilberry::base
