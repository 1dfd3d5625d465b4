#pragma once

#include <map>
#include <tuple>

#include "LibForward/forwarded_run.h"
#include "LibForward/recent_delay.h"

namespace bilberry::forward {

// What stages and answers have taken lately at this host, and what a run still
// needs if it goes on like that. Pure: time is passed in.
class RunTimeEstimator {
 public:
  // A stage of the run has just been done.
  void NoteJob(const ForwardedRun& run, size_t stage, base::TimePoint now);
  // The first byte of the answer to the run's attempt has just come.
  void NoteFirstByte(const ForwardedRun& run, base::TimePoint now);

  // What is left to do when a stage is done.
  base::Duration TimeAfter(const ForwardedRun& run,
                           size_t stage,
                           base::TimePoint now) const;
  // When a stage is to be asked for, so that its results are there just before
  // the rest of what the request reads.
  base::TimePoint StartTimeOf(const ForwardedRun& run,
                              size_t stage,
                              base::TimePoint now) const;

 private:
  // What waits are learned by: jobs of another pipeline or urgency are served
  // before these or behind them.
  using WaitKey = std::tuple<base::PoolName, base::PipelineName, Urgency>;
  static WaitKey WaitKeyOf(const ForwardedRun& run, size_t stage);

  // What a stage takes, with the wait for its turn.
  base::Duration TimeOf(const ForwardedRun& run,
                        size_t stage,
                        base::TimePoint now) const;

  // By how much jobs take longer than their calls, since they wait.
  std::map<WaitKey, RecentDelay> job_excess_;
  // From the sending of a request to its first byte.
  std::map<base::PipelineName, RecentDelay> first_byte_;
};

}  // namespace bilberry::forward
