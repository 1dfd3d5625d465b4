#pragma once

#include <array>
#include <cstdint>

#include "LibDeclare/configuration.h"

namespace bilberry::policy {

// Declared minimum share of stage time per rank, indexed by rank, in percent.
struct RankShares {
  std::array<uint32_t, declare::kRankCount> percent{};
};

// Minimum shares declared by a configuration.
RankShares SharesOf(const declare::Configuration& configuration);

}  // namespace bilberry::policy
