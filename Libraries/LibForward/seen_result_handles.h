#pragma once

#include <deque>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "LibForward/stage_job.h"

namespace bilberry::forward {

// Detects duplicate answers by the handles of the results that one endpoint
// returned lately. The endpoint gives each result a new handle, so an answer
// with a known handle is a second copy of an earlier answer: it arrived late,
// on a connection that was already in use for another call.
class SeenResultHandles {
 public:
  // Returns false, and adds nothing, if one of the handles is known already.
  // Handles are remembered for `life`.
  bool Add(std::span<const PieceOutcome> pieces,
           base::TimePoint now,
           base::Duration life);

 private:
  std::set<std::string> handles_;
  std::deque<std::pair<base::TimePoint, std::string>> expiries_;
};

}  // namespace bilberry::forward
