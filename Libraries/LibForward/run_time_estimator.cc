#include "LibForward/run_time_estimator.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// How long before the rest of the run a stage is planned to be done.
constexpr std::chrono::milliseconds kEarlyMargin{50};

const PieceLimits* LimitsOf(const ForwardedRun& run, size_t stage) {
  const ForwardedPool* pool =
      run.configuration->FindPool(run.pipeline->stages[stage].pool);
  return pool != nullptr && pool->pieces ? &*pool->pieces : nullptr;
}

}  // namespace

RunTimeEstimator::WaitKey RunTimeEstimator::WaitKeyOf(const ForwardedRun& run,
                                                      size_t stage) {
  return {run.pipeline->stages[stage].pool, run.pipeline->name, run.urgency};
}

void RunTimeEstimator::NoteJob(const ForwardedRun& run,
                               size_t stage,
                               base::TimePoint now) {
  const PieceLimits* limits = LimitsOf(run, stage);
  if (limits == nullptr)
    return;
  const StageState& state = run.stages[stage];
  const base::Duration excess =
      now - state.requested_at - CallTimeOf(*limits, state.pieces);
  job_excess_[WaitKeyOf(run, stage)].Note(std::max(excess, base::Duration(0)),
                                          now);
}

void RunTimeEstimator::NoteFirstByte(const ForwardedRun& run,
                                     base::TimePoint now) {
  first_byte_[run.pipeline->name].Note(now - run.attempt->sent, now);
}

base::Duration RunTimeEstimator::TimeOf(const ForwardedRun& run,
                                        size_t stage,
                                        base::TimePoint now) const {
  const PieceLimits* limits = LimitsOf(run, stage);
  if (limits == nullptr)
    return base::Duration(0);
  const auto excess = job_excess_.find(WaitKeyOf(run, stage));
  return CallTimeOf(*limits, run.stages[stage].pieces) +
         (excess == job_excess_.end() ? base::Duration(0)
                                      : excess->second.At(now));
}

base::Duration RunTimeEstimator::TimeAfter(const ForwardedRun& run,
                                           size_t stage,
                                           base::TimePoint now) const {
  const auto time_of = [&](size_t it) { return TimeOf(run, it, now); };
  const auto first_byte = first_byte_.find(run.pipeline->name);
  const base::Duration final_time = first_byte == first_byte_.end()
                                        ? base::Duration(0)
                                        : first_byte->second.At(now);
  return run.TimeAfter(stage, time_of) +
         std::max<base::Duration>(final_time, kMinFinalTime);
}

// Results take up memory at the endpoints that produced them until all results
// that the request reads are ready. A stage that needs less time than the rest
// of the run is therefore requested late, so that it is done just before.
base::TimePoint RunTimeEstimator::StartTimeOf(const ForwardedRun& run,
                                              size_t stage,
                                              base::TimePoint now) const {
  const auto time_of = [&](size_t it) { return TimeOf(run, it, now); };
  // Includes the stages that depend on this one. The chain that takes longest
  // thus never waits, so no two stages wait for each other.
  const base::Duration needed = time_of(stage) + run.TimeAfter(stage, time_of);
  return run.EndOfOthers(stage, now, time_of) - needed - kEarlyMargin;
}

base::TimePoint RunTimeEstimator::StagesEndOf(const ForwardedRun& run,
                                              base::TimePoint now) const {
  base::TimePoint end = now;
  for (size_t i = 0; i < run.stages.size(); ++i) {
    if (run.stages[i].phase == StagePhase::kRequested)
      end = std::max(end, run.stages[i].requested_at + TimeOf(run, i, now));
  }
  return end;
}

}  // namespace bilberry::forward
