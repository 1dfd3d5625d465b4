#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::soak {

// What was done and seen on both sides, in the order of time.
class EventTrail {
 public:
  // The time of day at this moment, to be compared with logs.
  explicit EventTrail(base::TimePoint now);

  void Add(base::TimePoint at, std::string text);
  // Lines within so much of a moment, and all that name the request.
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
