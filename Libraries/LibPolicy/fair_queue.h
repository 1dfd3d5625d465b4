#pragma once

#include <array>
#include <vector>

#include "LibPolicy/rank_shares.h"
#include "LibPolicy/rank_usage.h"
#include "LibPolicy/team_queue.h"
#include "LibPolicy/work.h"

namespace bilberry::policy {

// Waiting work of all ranks. A rank with work that lately had less than its
// minimum share of stage time goes first, the most important of them; else the
// most important rank with work. Inside a rank teams share fairly.
class FairQueue {
 public:
  void SetShares(const RankShares& shares) { shares_ = shares; }
  void Push(Work work);
  // The work that goes next; null when nothing waits. Work that can no longer
  // meet its deadline is dropped on the way, for TakeExpired().
  const Work* Next(base::TimePoint now);
  // Takes what Next() has just shown.
  Work Pop(base::TimePoint now);
  bool Remove(base::RunId run);
  std::vector<base::RunId> TakeExpired();
  size_t size() const;

  // Stage time that would be served before such work.
  base::Duration BacklogAhead(const WorkClass& claim) const;

 private:
  TeamQueue& QueueOf(declare::Rank rank) {
    return queues_[static_cast<size_t>(rank)];
  }
  const TeamQueue& QueueOf(declare::Rank rank) const {
    return queues_[static_cast<size_t>(rank)];
  }
  double ShareOf(declare::Rank rank) const;
  // Null when nothing waits.
  TeamQueue* NextQueue();

  RankShares shares_;
  RankUsage usage_;
  std::array<TeamQueue, declare::kRankCount> queues_;
  std::vector<base::RunId> lapsed_;
};

}  // namespace bilberry::policy
