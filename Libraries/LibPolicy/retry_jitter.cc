#include "LibPolicy/retry_jitter.h"

#include <cstdint>

namespace bilberry::policy {

namespace {

constexpr uint64_t kMaxJitterPercent = 25;
constexpr int64_t kPercent = 100;

}  // namespace

base::Duration AddJitter(base::Duration retry_after, base::Random& random) {
  const auto percent = static_cast<int64_t>(random.Below(kMaxJitterPercent));
  return retry_after + retry_after * percent / kPercent;
}

}  // namespace bilberry::policy
