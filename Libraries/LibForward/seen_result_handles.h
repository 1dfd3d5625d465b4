#pragma once

#include <deque>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "LibForward/stage_job.h"

namespace bilberry::forward {

// The names of the results that one endpoint has told lately. It names each
// result anew, so that an answer with a name that is known is a second copy of
// an earlier answer: it came late, on a connection that was in use again.
class SeenResultHandles {
 public:
  // False when one of them is known already; else they all are from now on, for
  // `life`.
  bool Add(std::span<const PieceOutcome> pieces,
           base::TimePoint now,
           base::Duration life);

 private:
  std::set<std::string> names_;
  std::deque<std::pair<base::TimePoint, std::string>> expiries_;
};

}  // namespace bilberry::forward
