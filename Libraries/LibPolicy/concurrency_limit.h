#pragma once

#include <cstdint>

#include "LibBase/time.h"

namespace bilberry::policy {

// How many requests one endpoint is given at once, of all entry hosts: grows
// by one a round trip while answers come as fast as from an unloaded endpoint,
// and shrinks by a factor when they don't (AIMD).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t start);

  // `slowdown` is the latency over that of an unloaded endpoint; `load` is what
  // the endpoint had at the time.
  void NoteAnswer(double slowdown,
                  double load,
                  base::Duration latency,
                  base::TimePoint now);
  // The endpoint refused, or did not answer in time.
  void NoteOverload(base::Duration latency, base::TimePoint now);

  double value() const { return limit_; }
  // Of the last answers, the mean; at least 1 for a sound endpoint.
  double slowdown() const { return slowdown_; }

 private:
  bool IsUsed(double load) const;
  void Shrink(base::Duration latency, base::TimePoint now);

  double limit_;
  double slowdown_ = 1;
  base::TimePoint may_shrink_at_;
};

}  // namespace bilberry::policy
