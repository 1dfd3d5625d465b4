#pragma once

#include <algorithm>
#include <optional>

#include "LibBase/time.h"

namespace bilberry::forward {

// The longest pause between the events of a stream.
class PauseTracker {
 public:
  void NoteEvent(base::TimePoint now) {
    if (last_)
      longest_ = std::max(longest_.value_or(now - *last_), now - *last_);
    last_ = now;
  }
  // Empty if there were fewer than two events.
  std::optional<base::Duration> longest() const { return longest_; }

 private:
  std::optional<base::TimePoint> last_;
  std::optional<base::Duration> longest_;
};

}  // namespace bilberry::forward
