#pragma once

#include <map>
#include <tuple>

#include "LibForward/forwarded_run.h"
#include "LibForward/recent_delay.h"

namespace bilberry::forward {

// Learns from recent runs of this host how long stages and final answers take,
// and estimates the remaining time of a run. Performs no I/O and reads no
// clock.
class RunTimeEstimator {
 public:
  // Records that a stage of the run has just ended.
  void NoteJob(const ForwardedRun& run, size_t stage, base::TimePoint now);
  // Records that the first byte of the answer to the run's attempt has just
  // arrived.
  void NoteFirstByte(const ForwardedRun& run, base::TimePoint now);

  // Expected time from the end of the stage to the end of the run.
  base::Duration TimeAfter(const ForwardedRun& run,
                           size_t stage,
                           base::TimePoint now) const;
  // When to request a stage so that its results are ready just before the rest
  // of what the request reads.
  base::TimePoint StartTimeOf(const ForwardedRun& run,
                              size_t stage,
                              base::TimePoint now) const;
  // When the last of the requested stages is expected to be done.
  base::TimePoint StagesEndOf(const ForwardedRun& run,
                              base::TimePoint now) const;

 private:
  // Waits are learned separately by pool, pipeline and urgency, since jobs that
  // differ in these are served earlier or later.
  using WaitKey = std::tuple<base::PoolName, base::PipelineName, Urgency>;
  static WaitKey WaitKeyOf(const ForwardedRun& run, size_t stage);

  // Expected time of a stage, including its wait in the queue.
  base::Duration TimeOf(const ForwardedRun& run,
                        size_t stage,
                        base::TimePoint now) const;

  // By how much jobs exceed the duration of their calls because of queueing.
  std::map<WaitKey, RecentDelay> job_excess_;
  // From sending a request until the first byte of its answer.
  std::map<base::PipelineName, RecentDelay> first_byte_;
};

}  // namespace bilberry::forward
