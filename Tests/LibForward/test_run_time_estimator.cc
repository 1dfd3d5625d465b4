#include <doctest/doctest.h>

#include <memory>

#include "LibForward/run_time_estimator.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kNow{std::chrono::seconds(100)};

// A run with a leaf stage and a chain of two stages, all in one pool. Calls
// take 100 ms plus 10 ms per piece.
struct TimedRun {
  TimedRun() {
    ForwardedPool pool;
    pool.name.value = "p";
    pool.pieces = PieceLimits{1,
                              8,
                              milliseconds(100),
                              milliseconds(10),
                              1'000'000,
                              milliseconds(4000)};
    auto declared = std::make_shared<ForwardConfiguration>();
    declared->pools = {pool};
    pipeline.name.value = "draft";
    pipeline.stages = {
        {{"p"}, {}, 1000}, {{"p"}, {}, 1000}, {{"p"}, {1}, 1000}};
    run.configuration = declared;
    run.pipeline = &pipeline;
    run.stages.resize(pipeline.stages.size());
    for (StageState& it : run.stages) {
      it.pieces = 1;
      it.requested_at = kNow;
    }
  }

  // Records a stage of one piece that took 200 ms longer than its call.
  void NoteLongJob(RunTimeEstimator& estimator, size_t stage) {
    run.stages[stage].requested_at = kNow - milliseconds(310);
    estimator.NoteJob(run, stage, kNow);
  }

  ForwardedPipeline pipeline;
  ForwardedRun run;
};

// The estimate that RunTimeEstimator has after a single sample.
base::Duration MeanAfter(base::Duration sample) {
  RecentDelay delay;
  delay.Note(sample, kNow);
  return delay.At(kNow);
}

TEST_CASE("without samples a run is estimated by its calls and its answer") {
  const TimedRun it;
  const RunTimeEstimator estimator;
  CHECK(estimator.TimeAfter(it.run, 1, kNow) ==
        milliseconds(110) + kMinFinalTime);
  CHECK(estimator.TimeAfter(it.run, 2, kNow) == kMinFinalTime);
}

TEST_CASE("the estimate of a run includes the average wait") {
  TimedRun it;
  RunTimeEstimator estimator;
  it.NoteLongJob(estimator, 2);
  const base::Duration wait = MeanAfter(milliseconds(200));
  CHECK(estimator.TimeAfter(it.run, 1, kNow) ==
        milliseconds(110) + wait + kMinFinalTime);
  it.run.attempt = FinalAttempt{{}, {}, {}, kNow - milliseconds(1000), {}};
  estimator.NoteFirstByte(it.run, kNow);
  const base::Duration answer = MeanAfter(milliseconds(1000));
  CHECK(estimator.TimeAfter(it.run, 2, kNow) == answer);
}

TEST_SUITE_BEGIN("waits-of-others");

TEST_CASE(
    "a pipeline's estimate ignores waits of a pipeline with a later target") {
  TimedRun patient;
  patient.pipeline.name.value = "summary";
  patient.pipeline.target_latency = milliseconds(3000);
  TimedRun it;
  it.pipeline.target_latency = milliseconds(1500);
  RunTimeEstimator estimator;
  for (int i = 0; i < 10; ++i)
    patient.NoteLongJob(estimator, 2);
  CHECK(estimator.TimeAfter(it.run, 1, kNow) ==
        milliseconds(110) + kMinFinalTime);
}

TEST_SUITE_END();

// Results of a leaf stage that are produced too early take up memory until they
// are read.
TEST_CASE("the start time of a leaf includes the average wait") {
  TimedRun it;
  RunTimeEstimator estimator;
  it.NoteLongJob(estimator, 1);
  const base::Duration wait = MeanAfter(milliseconds(200));
  // A chain of two stages against the one leaf. All stages have the same wait.
  const base::TimePoint due = estimator.StartTimeOf(it.run, 0, kNow);
  CHECK(due == kNow + milliseconds(110) + wait - milliseconds(50));
  CHECK(estimator.StartTimeOf(it.run, 1, kNow) < kNow);
}

TEST_CASE("waits are learned separately by urgency") {
  TimedRun it;
  RunTimeEstimator estimator;
  it.run.urgency = Urgency{2};
  it.NoteLongJob(estimator, 2);
  it.run.urgency = Urgency::kMost;
  CHECK(estimator.TimeAfter(it.run, 1, kNow) ==
        milliseconds(110) + kMinFinalTime);
}

}  // namespace
}  // namespace bilberry::forward
