#pragma once

#include <array>

#include "LibBase/time.h"
#include "LibDeclare/configuration.h"

namespace bilberry::policy {

// Recent stage time per rank, with exponential decay.
class RankUsage {
 public:
  void Add(declare::Rank rank, base::Duration stage_time, base::TimePoint now);

  // The rank's fraction of the recent stage time of all ranks, in [0, 1]; 0
  // before any use.
  double Fraction(declare::Rank rank) const;

 private:
  std::array<double, declare::kRankCount> used_{};
  double total_ = 0;
  base::TimePoint updated_;
};

}  // namespace bilberry::policy
