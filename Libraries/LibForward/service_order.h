#pragma once

#include <cstdint>
#include <vector>

#include "LibBase/time.h"
#include "LibForward/stage_job.h"

namespace bilberry::forward {

// A job that waits for its turn, as far as the order goes by it.
struct QueuedJob {
  JobId id{};
  base::PipelineName pipeline;
  Urgency urgency = Urgency::kMost;
  base::TimePoint target;
  // From its turn until its request is answered.
  base::Duration needed{};
  uint32_t pieces = 0;
  RequestProgress progress = RequestProgress::kNew;
};

// What the pool that they wait for can do.
struct PoolThroughput {
  base::TimePoint next_turn;
  base::Duration round_time{};    // Of a full call.
  uint32_t pieces_per_round = 1;  // Over all endpoints.
  // What calls make of it lately: results may leave no room for full ones.
  double fullness = 1;
  // What jobs that can be on time leave of it lately.
  double left_for_late = 1;

  // Until so many pieces have had their turn.
  base::Duration TimeFor(uint64_t pieces) const;
};

// Which jobs are served first. Those that can be on time, given what goes
// before them, go before those that can't: a late answer is worth little to
// its caller, and serving it first makes the next one late as well. Answers
// the load of a burst beyond what the pool can do.
struct ServiceOrder {
  std::vector<QueuedJob> on_time;
  std::vector<QueuedJob> late;
};

ServiceOrder OrderOfService(std::vector<QueuedJob> jobs,
                            const PoolThroughput& pace);

// Until a job that isn't in the order yet has its turn: behind those on time
// that are more urgent or, of its urgency, due before it. All of its own
// pipeline and urgency count too, also those due later: a margin for those who
// have been let in.
base::Duration ExpectedWaitOnTime(const QueuedJob& job,
                                  const ServiceOrder& order,
                                  const PoolThroughput& pace,
                                  base::TimePoint now);

// Until one has its turn that can't be on time: behind all that waits, and
// behind those on time that come meanwhile.
base::Duration ExpectedLateWait(const ServiceOrder& order,
                                const PoolThroughput& pace,
                                base::TimePoint now);

// When who is refused now may come back, if those who were refused before take
// their turns until `returns_until`; moved on by this one's pieces. They come
// one behind the other, beside those who come for the first time: together they
// would find the pool full again.
base::Duration ReserveRetrySlot(const ServiceOrder& order,
                                const PoolThroughput& pace,
                                base::TimePoint now,
                                uint32_t pieces,
                                base::TimePoint& returns_until);

}  // namespace bilberry::forward
