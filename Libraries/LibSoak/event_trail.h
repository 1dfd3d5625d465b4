#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::soak {

// Log of injected faults and of what callers and endpoints observed, in order
// of time.
class EventTrail {
 public:
  // Records the time of day at `now` so that entries can be matched with logs.
  explicit EventTrail(base::TimePoint now);

  void Add(base::TimePoint at, std::string text);
  // Prints the entries within `around` of `at`, and all entries that name the
  // request.
  void Print(std::ostream& out,
             base::TimePoint at,
             std::chrono::milliseconds around,
             const std::string& request) const;
  int64_t UnixMs(base::TimePoint at) const;

 private:
  struct Entry {
    base::TimePoint at;
    std::string text;
  };

  base::TimePoint origin_;
  int64_t origin_unix_ms_ = 0;
  std::vector<Entry> entries_;
};

}  // namespace bilberry::soak
