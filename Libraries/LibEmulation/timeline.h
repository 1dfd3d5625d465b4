#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::emulation {

// Event queue in virtual time: steps run in the order of their due times, and
// steps due at the same time in the order in which they were added.
class Timeline {
 public:
  using Step = std::function<void()>;

  base::TimePoint now() const { return now_; }

  // `time` must not be before now().
  void At(base::TimePoint time, Step step);
  void After(base::Duration delay, Step step) {
    At(now_ + delay, std::move(step));
  }
  // Runs all steps due by `end`, including those added meanwhile.
  void RunUntil(base::TimePoint end);

 private:
  struct Entry {
    base::TimePoint time;
    uint64_t number = 0;
    Step step;
  };
  struct IsLater {
    bool operator()(const Entry& left, const Entry& right) const {
      return left.time == right.time ? left.number > right.number
                                     : left.time > right.time;
    }
  };

  std::priority_queue<Entry, std::vector<Entry>, IsLater> entries_;
  base::TimePoint now_;
  uint64_t last_number_ = 0;
};

}  // namespace bilberry::emulation
