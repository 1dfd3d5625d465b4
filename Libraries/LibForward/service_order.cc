#include "LibForward/service_order.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// What a pool does of what it could: calls begin a little after the one before,
// and a job's pieces may be in several.
constexpr double kEfficiency = 0.6;
// Jobs that are late count on this much of a pool, however little those on time
// leave of it just now.
constexpr double kLeastLeft = 0.05;
// Once a burst is over, one in so many pieces is for who was refused or late.
constexpr int64_t kReturnsShare = 2;

uint64_t PiecesOf(const std::vector<QueuedJob>& jobs) {
  uint64_t pieces = 0;
  for (const QueuedJob& job : jobs)
    pieces += job.pieces;
  return pieces;
}

}  // namespace

base::Duration PoolThroughput::TimeFor(uint64_t pieces) const {
  const double rounds =
      static_cast<double>(pieces) / static_cast<double>(pieces_per_round);
  return base::Duration(
      static_cast<int64_t>(static_cast<double>(round_time.count()) * rounds /
                           (kEfficiency * fullness)));
}

ServiceOrder OrderOfService(std::vector<QueuedJob> jobs,
                            const PoolThroughput& pace) {
  std::ranges::stable_sort(jobs,
                           [](const QueuedJob& left, const QueuedJob& right) {
                             return std::pair(left.urgency, left.target) <
                                    std::pair(right.urgency, right.target);
                           });
  ServiceOrder order;
  uint64_t ahead = 0;
  for (QueuedJob& job : jobs) {
    const base::TimePoint turn = pace.next_turn + pace.TimeFor(ahead);
    if (turn + job.needed > job.target) {
      order.late.push_back(job);
      continue;
    }
    ahead += job.pieces;
    order.on_time.push_back(job);
  }
  std::stable_partition(order.late.begin(), order.late.end(),
                        [](const QueuedJob& it) {
                          return it.progress == RequestProgress::kUnderWay;
                        });
  return order;
}

base::Duration ExpectedWaitOnTime(const QueuedJob& job,
                                  const ServiceOrder& order,
                                  const PoolThroughput& pace,
                                  base::TimePoint now) {
  uint64_t ahead = 0;
  for (const QueuedJob& it : order.on_time) {
    const bool goes_before =
        std::pair(it.urgency, it.target) <= std::pair(job.urgency, job.target);
    const bool is_of_its_kind =
        it.urgency == job.urgency && it.pipeline == job.pipeline;
    if (goes_before || is_of_its_kind)
      ahead += it.pieces;
  }
  return pace.next_turn - now + pace.TimeFor(ahead);
}

base::Duration ExpectedLateWait(const ServiceOrder& order,
                                const PoolThroughput& pace,
                                base::TimePoint now) {
  const double left = std::max(pace.left_for_late, kLeastLeft);
  const base::Duration late = pace.TimeFor(PiecesOf(order.late));
  return pace.next_turn - now + pace.TimeFor(PiecesOf(order.on_time)) +
         base::Duration(
             static_cast<int64_t>(static_cast<double>(late.count()) / left));
}

base::Duration ReserveRetrySlot(const ServiceOrder& order,
                                const PoolThroughput& pace,
                                base::TimePoint now,
                                uint32_t pieces,
                                base::TimePoint& returns_until) {
  const base::TimePoint drained =
      pace.next_turn + pace.TimeFor(PiecesOf(order.on_time)) +
      pace.TimeFor(PiecesOf(order.late)) * kReturnsShare;
  const base::TimePoint turn = std::max(drained, returns_until);
  returns_until = turn + pace.TimeFor(pieces) * kReturnsShare;
  return turn - now;
}

}  // namespace bilberry::forward
