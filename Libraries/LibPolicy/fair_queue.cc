#include "LibPolicy/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberry::policy {

namespace {

constexpr double kPercent = 100.0;
// Lower bound of the fraction left for a rank, so that the estimated wait stays
// finite.
constexpr double kMinFraction = 0.01;

}  // namespace

double FairQueue::ShareOf(declare::Rank rank) const {
  return shares_.percent[static_cast<size_t>(rank)] / kPercent;
}

void FairQueue::Push(Work work) {
  TeamQueue& queue = QueueOf(work.rank);
  queue.Push(std::move(work));
}

TeamQueue* FairQueue::NextQueue() {
  for (const declare::Rank rank : declare::kRanks) {
    TeamQueue& queue = QueueOf(rank);
    if (queue.size() > 0 && usage_.Fraction(rank) < ShareOf(rank))
      return &queue;
  }
  for (const declare::Rank rank : declare::kRanks) {
    if (QueueOf(rank).size() > 0)
      return &QueueOf(rank);
  }
  return nullptr;
}

const Work* FairQueue::Next(base::TimePoint now) {
  for (TeamQueue* queue = NextQueue(); queue != nullptr; queue = NextQueue()) {
    const Work* work = queue->Front();
    if (now + work->service.slow + work->service_after <= work->deadline)
      return work;
    expired_.push_back(queue->Drop().run);
  }
  return nullptr;
}

Work FairQueue::Pop(base::TimePoint now) {
  TeamQueue* queue = NextQueue();
  assert(queue != nullptr);
  Work work = queue->Pop();
  usage_.Add(work.rank, work.service.typical, now);
  return work;
}

bool FairQueue::Remove(base::RunId run) {
  return std::ranges::any_of(
      queues_, [run](TeamQueue& queue) { return queue.Remove(run); });
}

std::vector<base::RunId> FairQueue::TakeExpired() {
  return std::exchange(expired_, {});
}

size_t FairQueue::size() const {
  size_t n = 0;
  for (const TeamQueue& queue : queues_)
    n += queue.size();
  return n;
}

base::Duration FairQueue::BacklogAhead(const WorkClass& work_class) const {
  const declare::Rank rank = work_class.rank;
  base::Duration more_important{};
  double reserved_for_others = 0;
  const double own_share = ShareOf(rank);
  for (const declare::Rank other : declare::kRanks) {
    if (other < rank) {
      more_important += QueueOf(other).backlog();
      reserved_for_others += usage_.Fraction(other);
    } else if (other > rank && QueueOf(other).size() > 0) {
      reserved_for_others += ShareOf(other);
    }
  }
  const auto own = QueueOf(rank).BacklogAhead(work_class);
  const double remaining_fraction =
      std::max(1.0 - reserved_for_others, kMinFraction);
  const double time_by_remainder =
      static_cast<double>((own + more_important).count()) / remaining_fraction;
  const double time_by_share =
      static_cast<double>(own.count()) / std::max(own_share, kMinFraction);
  return base::Duration(
      static_cast<int64_t>(std::min(time_by_remainder, time_by_share)));
}

}  // namespace bilberry::policy
