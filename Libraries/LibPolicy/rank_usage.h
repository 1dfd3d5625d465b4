#pragma once

#include <array>

#include "LibBase/time.h"
#include "LibDeclare/configuration.h"

namespace bilberry::policy {

// How much stage time each rank was given lately; older use counts for less.
class RankUsage {
 public:
  void Add(declare::Rank rank, base::Duration stage_time, base::TimePoint now);

  // The rank's part of all that was given, in [0, 1]; 0 before any.
  double Fraction(declare::Rank rank) const;

 private:
  std::array<double, declare::kRankCount> used_{};
  double total_ = 0;
  base::TimePoint updated_;
};

}  // namespace bilberry::policy
