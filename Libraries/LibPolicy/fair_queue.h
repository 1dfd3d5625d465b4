#pragma once

#include <array>
#include <vector>

#include "LibPolicy/rank_shares.h"
#include "LibPolicy/rank_usage.h"
#include "LibPolicy/team_queue.h"
#include "LibPolicy/work.h"

namespace bilberry::policy {

// Work of all ranks that waits for a pool. The most important rank whose recent
// use is below its minimum share of stage time is served first; otherwise the
// most important rank with waiting work. Within a rank, teams share fairly.
class FairQueue {
 public:
  void SetShares(const RankShares& shares) { shares_ = shares; }
  void Push(Work work);
  // The work to be dispatched next; null when the queue is empty. Drops work
  // that can no longer meet its deadline and lists it for TakeExpired().
  const Work* Next(base::TimePoint now);
  // Removes the work that Next() has just returned, and charges its rank.
  Work Pop(base::TimePoint now);
  bool Remove(base::RunId run);
  std::vector<base::RunId> TakeExpired();
  size_t size() const;

  // Stage time that would be served before new work of this class.
  base::Duration BacklogAhead(const WorkClass& work_class) const;

 private:
  TeamQueue& QueueOf(declare::Rank rank) {
    return queues_[static_cast<size_t>(rank)];
  }
  const TeamQueue& QueueOf(declare::Rank rank) const {
    return queues_[static_cast<size_t>(rank)];
  }
  double ShareOf(declare::Rank rank) const;
  // Null when the queue is empty.
  TeamQueue* NextQueue();

  RankShares shares_;
  RankUsage usage_;
  std::array<TeamQueue, declare::kRankCount> queues_;
  std::vector<base::RunId> expired_;
};

}  // namespace bilberry::policy
