#include "LibPolicy/rank_shares.h"

namespace bilberry::policy {

RankShares SharesOf(const declare::Configuration& configuration) {
  RankShares shares;
  for (size_t i = 0; i < declare::kRankCount; ++i)
    shares.percent[i] = configuration.ranks[i].minimum_share_percent;
  return shares;
}

}  // namespace bilberry::policy
