#pragma once

#include <compare>
#include <map>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::policy {

// An attempt may take this many times what its stage usually takes at most.
inline constexpr int kAttemptTimeoutFactor = 2;
// What a stage that was never measured may take, in declared times.
inline constexpr int kUnmeasuredTimeoutFactor = 3;
// No attempt is given up sooner.
inline constexpr std::chrono::milliseconds kMinAttemptTimeout{100};
inline constexpr size_t kMaxTrackedStages = 4096;

// Stages that do the same work: one path of one pool.
struct StageKey {
  base::PoolName pool;
  std::string path;

  friend auto operator<=>(const StageKey&, const StageKey&) = default;
};

// Learns how long the endpoints take until a stage's first byte, as RFC 6298
// does for TCP: by the mean and the mean deviation.
class AttemptTimeouts {
 public:
  void Record(const StageKey& stage, base::Duration time);

  // When an attempt has taken too long to be a usual one.
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
