#include "LibForward/service_order.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// Fraction of its nominal throughput that a pool reaches. Calls begin a little
// after the previous one has ended, and a job's pieces may be spread over
// several calls.
constexpr double kEfficiency = 0.6;
// Late jobs are estimated to get at least this fraction of a pool, however
// little on-time jobs leave at the moment.
constexpr double kMinLeftForLate = 0.05;
// After a burst, every kRetrySlotFactor-th piece is reserved for refused or
// late jobs.
constexpr int64_t kRetrySlotFactor = 2;

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
                            const PoolThroughput& throughput) {
  std::ranges::stable_sort(jobs,
                           [](const QueuedJob& left, const QueuedJob& right) {
                             return std::pair(left.urgency, left.target) <
                                    std::pair(right.urgency, right.target);
                           });
  ServiceOrder order;
  uint64_t ahead = 0;
  for (QueuedJob& job : jobs) {
    const base::TimePoint turn =
        throughput.next_turn + throughput.TimeFor(ahead);
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
                                  const PoolThroughput& throughput,
                                  base::TimePoint now) {
  uint64_t ahead = 0;
  for (const QueuedJob& it : order.on_time) {
    const bool goes_before =
        std::pair(it.urgency, it.target) <= std::pair(job.urgency, job.target);
    const bool is_same_kind =
        it.urgency == job.urgency && it.pipeline == job.pipeline;
    if (goes_before || is_same_kind)
      ahead += it.pieces;
  }
  return throughput.next_turn - now + throughput.TimeFor(ahead);
}

base::Duration ExpectedLateWait(const ServiceOrder& order,
                                const PoolThroughput& throughput,
                                base::TimePoint now) {
  const double left = std::max(throughput.left_for_late, kMinLeftForLate);
  const base::Duration late = throughput.TimeFor(PiecesOf(order.late));
  return throughput.next_turn - now +
         throughput.TimeFor(PiecesOf(order.on_time)) +
         base::Duration(
             static_cast<int64_t>(static_cast<double>(late.count()) / left));
}

base::Duration ReserveRetrySlot(const ServiceOrder& order,
                                const PoolThroughput& throughput,
                                base::TimePoint now,
                                uint32_t pieces,
                                base::TimePoint& retry_slots_end) {
  const base::TimePoint drained =
      throughput.next_turn + throughput.TimeFor(PiecesOf(order.on_time)) +
      throughput.TimeFor(PiecesOf(order.late)) * kRetrySlotFactor;
  const base::TimePoint turn = std::max(drained, retry_slots_end);
  retry_slots_end = turn + throughput.TimeFor(pieces) * kRetrySlotFactor;
  return turn - now;
}

}  // namespace bilberry::forward
