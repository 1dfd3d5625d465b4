#pragma once

#include <cstdint>

#include "LibBase/time.h"

namespace bilberry::policy {

// How many requests one endpoint is given at once, of all entry hosts: grows
// by one a round trip while it is used, and shrinks in proportion as answers
// are slower than those of an unloaded endpoint.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t start);

  // `slowdown` is the latency over that of an unloaded endpoint; `load` is what
  // the endpoint had at the time.
  void NoteAnswer(double slowdown, double load, base::TimePoint now);
  // The endpoint refused.
  void NoteOverload(base::Duration round_trip, base::TimePoint now);

  double value() const { return limit_; }
  // The mean of the last answers' slowdowns; without answers it fades to 1, so
  // that an endpoint that was slow is tried again.
  double SlowdownAt(base::TimePoint now) const;

 private:
  bool IsUsed(double load) const;

  double limit_;
  double slowdown_ = 1;
  base::TimePoint may_shrink_at_;
  base::TimePoint last_answer_;
};

}  // namespace bilberry::policy
