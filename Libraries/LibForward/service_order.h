#pragma once

#include <cstdint>
#include <vector>

#include "LibBase/time.h"
#include "LibForward/stage_job.h"

namespace bilberry::forward {

// A waiting job with the properties that decide its place in the order.
struct QueuedJob {
  JobId id{};
  base::PipelineName pipeline;
  Urgency urgency = Urgency::kMost;
  base::TimePoint target;
  // Time from the job's turn until its request is answered.
  base::Duration needed{};
  uint32_t pieces = 0;
  RequestProgress progress = RequestProgress::kNew;
};

// How fast a pool works off its queue.
struct PoolThroughput {
  base::TimePoint next_turn;
  base::Duration round_time{};    // Of a call with a full load of pieces.
  uint32_t pieces_per_round = 1;  // Over all endpoints.
  // Recent load of calls as a fraction of a full one. Calls are not full if the
  // results would not fit into an endpoint's memory.
  double fullness = 1;
  // Fraction of the capacity that on-time jobs have recently left to late ones.
  double left_for_late = 1;

  // The time until this many pieces have had their turn.
  base::Duration TimeFor(uint64_t pieces) const;
};

// The order in which waiting jobs are served. Jobs that will be on time, given
// the jobs ahead of them, are served before jobs that will miss their target: a
// late answer is worth little to its caller, and serving it first would make
// the next one late as well. This limits the damage of a burst that exceeds the
// pool's capacity.
struct ServiceOrder {
  std::vector<QueuedJob> on_time;
  std::vector<QueuedJob> late;
};

ServiceOrder OrderOfService(std::vector<QueuedJob> jobs,
                            const PoolThroughput& throughput);

// Expected wait of a job that isn't in `order` yet if it can be on time. The
// job queues behind the on-time jobs that are more urgent or, at equal urgency,
// due earlier. All jobs of its own pipeline and urgency count too, even those
// due later, as a margin for jobs that were already admitted.
base::Duration ExpectedWaitOnTime(const QueuedJob& job,
                                  const ServiceOrder& order,
                                  const PoolThroughput& throughput,
                                  base::TimePoint now);

// Expected wait of a job that can't be on time: it queues behind all waiting
// jobs and behind on-time jobs that arrive meanwhile.
base::Duration ExpectedLateWait(const ServiceOrder& order,
                                const PoolThroughput& throughput,
                                base::TimePoint now);

// Returns how long a refused caller should wait before retrying. Refused
// callers get consecutive slots, beside a share of the pool for new requests,
// because all of them retrying at once would overload the pool again.
// `retry_slots_end` is the end of the last slot given out; it is moved on by
// the time for this job's `pieces`.
base::Duration ReserveRetrySlot(const ServiceOrder& order,
                                const PoolThroughput& throughput,
                                base::TimePoint now,
                                uint32_t pieces,
                                base::TimePoint& retry_slots_end);

}  // namespace bilberry::forward
