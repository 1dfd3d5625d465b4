#pragma once

#include <cstdint>

#include "LibBase/time.h"

namespace bilberry::policy {

// Adaptive concurrency limit of one endpoint, over all entry hosts: grows by
// one request per round trip while the limit is in use, and shrinks in
// proportion as latency exceeds that of an unloaded endpoint.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t start);

  // `slowdown` is the latency divided by that of an unloaded endpoint; `load`
  // is the number of requests that the endpoint had when the request was sent.
  void NoteAnswer(double slowdown, double load, base::TimePoint now);
  // The endpoint refused a request as overloaded.
  void NoteOverload(base::Duration round_trip, base::TimePoint now);

  double value() const { return limit_; }
  // Moving average of the slowdowns of recent answers. Without new answers it
  // decays to 1, so that a slow endpoint is tried again.
  double SlowdownAt(base::TimePoint now) const;

 private:
  bool IsUsed(double load) const;

  double limit_;
  double slowdown_ = 1;
  base::TimePoint may_shrink_at_;
  base::TimePoint last_answer_;
};

}  // namespace bilberry::policy
