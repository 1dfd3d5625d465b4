#include "LibPolicy/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bilberry::policy {

namespace {

constexpr double kPercent = 100.0;
// Bounds an estimate where a rank has nearly nothing left for it.
constexpr double kSmallestPart = 0.01;

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
    lapsed_.push_back(queue->Drop().run);
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
  return std::exchange(lapsed_, {});
}

size_t FairQueue::size() const {
  size_t n = 0;
  for (const TeamQueue& queue : queues_)
    n += queue.size();
  return n;
}

base::Duration FairQueue::BacklogAhead(const WorkClass& claim) const {
  const declare::Rank rank = claim.rank;
  base::Duration more_important{};
  double kept_from_us = 0;
  const double kept_for_us = ShareOf(rank);
  for (const declare::Rank other : declare::kRanks) {
    if (other < rank) {
      more_important += QueueOf(other).backlog();
      kept_from_us += usage_.Fraction(other);
    } else if (other > rank && QueueOf(other).size() > 0) {
      kept_from_us += ShareOf(other);
    }
  }
  const auto own = QueueOf(rank).BacklogAhead(claim);
  const double rest = std::max(1.0 - kept_from_us, kSmallestPart);
  const double by_rest =
      static_cast<double>((own + more_important).count()) / rest;
  const double by_share =
      static_cast<double>(own.count()) / std::max(kept_for_us, kSmallestPart);
  return base::Duration(static_cast<int64_t>(std::min(by_rest, by_share)));
}

}  // namespace bilberry::policy
