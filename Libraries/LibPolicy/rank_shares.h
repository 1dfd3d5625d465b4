#pragma once

#include <array>
#include <cstdint>

#include "LibDeclare/configuration.h"

namespace bilberry::policy {

// The declared minimum share of each rank, by its index, in percent.
struct RankShares {
  std::array<uint32_t, declare::kRankCount> percent{};
};

// The shares that a configuration declares.
RankShares SharesOf(const declare::Configuration& configuration);

}  // namespace bilberry::policy
