#include <doctest/doctest.h>

#include <memory>

#include "LibForward/run_time_estimator.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kNow{std::chrono::seconds(100)};

// A leaf, and a stage with one that reads its results, all of one pool: calls
// take 100 ms and 10 ms a piece.
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
      it.asked = kNow;
    }
  }

  // A stage of one piece has taken 200 ms longer than its call.
  void NoteLongJob(RunTimeEstimator& times, size_t stage) {
    run.stages[stage].asked = kNow - milliseconds(310);
    times.NoteJob(run, stage, kNow);
  }

  ForwardedPipeline pipeline;
  ForwardedRun run;
};

// What RunTimeEstimator has learned from one delay.
base::Duration MeanAfter(base::Duration sample) {
  RecentDelay delay;
  delay.Note(sample, kNow);
  return delay.At(kNow);
}

TEST_CASE("before anything is learned a run needs its calls and its answer") {
  const TimedRun it;
  const RunTimeEstimator times;
  CHECK(times.TimeAfter(it.run, 1, kNow) == milliseconds(110) + kMinFinalTime);
  CHECK(times.TimeAfter(it.run, 2, kNow) == kMinFinalTime);
}

TEST_CASE("a run counts on the mean of the waits") {
  TimedRun it;
  RunTimeEstimator times;
  it.NoteLongJob(times, 2);
  const base::Duration wait = MeanAfter(milliseconds(200));
  CHECK(times.TimeAfter(it.run, 1, kNow) ==
        milliseconds(110) + wait + kMinFinalTime);
  it.run.attempt = FinalAttempt{{}, {}, {}, kNow - milliseconds(1000), {}};
  times.NoteFirstByte(it.run, kNow);
  const base::Duration answer = MeanAfter(milliseconds(1000));
  CHECK(times.TimeAfter(it.run, 2, kNow) == answer);
}

TEST_SUITE_BEGIN("waits-of-others");

TEST_CASE(
    "a pipeline isn't expected to wait as one does whose target is later") {
  TimedRun patient;
  patient.pipeline.name.value = "summary";
  patient.pipeline.target_latency = milliseconds(3000);
  TimedRun it;
  it.pipeline.target_latency = milliseconds(1500);
  RunTimeEstimator times;
  for (int i = 0; i < 10; ++i)
    patient.NoteLongJob(times, 2);
  CHECK(times.TimeAfter(it.run, 1, kNow) == milliseconds(110) + kMinFinalTime);
}

TEST_SUITE_END();

// A leaf that is there too early takes up room until it is read.
TEST_CASE("a leaf is due by the mean of the waits") {
  TimedRun it;
  RunTimeEstimator times;
  it.NoteLongJob(times, 1);
  const base::Duration wait = MeanAfter(milliseconds(200));
  // Two stages, one after the other, against one: all of them wait alike.
  const base::TimePoint due = times.StartTimeOf(it.run, 0, kNow);
  CHECK(due == kNow + milliseconds(110) + wait - milliseconds(50));
  CHECK(times.StartTimeOf(it.run, 1, kNow) < kNow);
}

TEST_CASE("waits are learned apart by urgency") {
  TimedRun it;
  RunTimeEstimator times;
  it.run.urgency = Urgency{2};
  it.NoteLongJob(times, 2);
  it.run.urgency = Urgency::kMost;
  CHECK(times.TimeAfter(it.run, 1, kNow) == milliseconds(110) + kMinFinalTime);
}

}  // namespace
}  // namespace bilberry::forward
