#include "LibEmulation/timeline.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberry::emulation {

void Timeline::At(base::TimePoint time, Step step) {
  assert(time >= now_);
  entries_.push({time, ++last_number_, std::move(step)});
}

void Timeline::RunUntil(base::TimePoint end) {
  while (!entries_.empty() && entries_.top().time <= end) {
    now_ = entries_.top().time;
    const Step step = entries_.top().step;
    entries_.pop();
    step();
  }
  now_ = std::max(now_, end);
}

}  // namespace bilberry::emulation
