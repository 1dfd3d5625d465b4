#pragma once

#include <chrono>

namespace bilberry::base {

using Duration = std::chrono::microseconds;

// Clock type for the monotonic time of one host's node. The clock has no now():
// time is passed in, and is never compared between hosts.
struct NodeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<NodeClock>;
  // The standard requires this name ([time.clock.req]).
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using TimePoint = NodeClock::time_point;

}  // namespace bilberry::base
