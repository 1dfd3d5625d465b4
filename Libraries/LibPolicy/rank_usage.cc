#include "LibPolicy/rank_usage.h"

#include <cmath>

namespace bilberry::policy {

namespace {

constexpr std::chrono::duration<double> kUsageWindow{2.0};

}  // namespace

void RankUsage::Add(declare::Rank rank,
                    base::Duration stage_time,
                    base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - updated_;
  const double decay = std::exp(-(elapsed / kUsageWindow));
  updated_ = now;
  total_ = 0;
  for (double& used : used_)
    used *= decay;
  used_[static_cast<size_t>(rank)] += static_cast<double>(stage_time.count());
  for (const double used : used_)
    total_ += used;
}

double RankUsage::Fraction(declare::Rank rank) const {
  return total_ > 0 ? used_[static_cast<size_t>(rank)] / total_ : 0;
}

}  // namespace bilberry::policy
