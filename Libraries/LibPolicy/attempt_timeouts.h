#pragma once

#include <compare>
#include <map>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// An attempt times out after this multiple of the stage's usual upper bound.
inline constexpr int kAttemptTimeoutFactor = 2;
// Usual upper bound of a stage without measurements, as a multiple of the
// declared time.
inline constexpr int kUnmeasuredTimeoutFactor = 3;
// Lower bound of every attempt timeout.
inline constexpr std::chrono::milliseconds kMinAttemptTimeout{100};
inline constexpr size_t kMaxTrackedStages = 4096;

// Identifies stages that do the same work: one path of one pool.
struct StageKey {
  base::PoolName pool;
  std::string path;

  friend auto operator<=>(const StageKey&, const StageKey&) = default;
};

// Adaptive attempt timeouts: estimates the time to a stage's first byte by its
// mean and mean deviation, as RFC 6298 does for TCP's retransmission timeout.
class AttemptTimeouts {
 public:
  void Record(const StageKey& stage, base::Duration time);

  // The timeout of an attempt of this stage. `declared` is the configured time,
  // used while there are no measurements.
  base::Duration TimeoutOf(const StageKey& stage,
                           base::Duration declared) const;

 private:
  struct Estimate {
    base::Duration mean{};
    base::Duration deviation{};
  };

  std::map<StageKey, Estimate> estimates_;
};

}  // namespace bilberry::policy
