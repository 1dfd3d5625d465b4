#include <doctest/doctest.h>

#include <memory>

#include "LibPipeline/run.h"

namespace bilberry::pipeline {
namespace {

using base::AttemptId;
using base::Incarnation;
using base::TimePoint;

constexpr Incarnation kIncarnation{7};

Run MakeRun(size_t stage_count) {
  auto configuration = std::make_shared<declare::Configuration>();
  declare::Pipeline pipeline;
  pipeline.name = {"quotation"};
  for (size_t i = 0; i < stage_count; ++i) {
    declare::Stage stage;
    stage.name = {"stage-" + std::to_string(i)};
    pipeline.stages.push_back(stage);
  }
  configuration->pipelines.push_back(pipeline);
  RunRequest request;
  request.pipeline = pipeline.name;
  request.body = "asked";
  request.budget = std::chrono::seconds(3);
  const declare::Pipeline& kept = configuration->pipelines.front();
  return {base::RunId{1}, configuration, kept, request, TimePoint()};
}

TEST_SUITE_BEGIN("promise-1");

TEST_CASE("each stage gets the answer of the previous one as its input") {
  Run run = MakeRun(2);
  CHECK(run.input() == "asked");
  run.BeginAttempt({kIncarnation, 1}, {"e1"}, TimePoint());
  CHECK(run.AcceptAnswer({kIncarnation, 1}, "first") == Acceptance::kNextStage);
  CHECK(run.input() == "first");
  run.BeginAttempt({kIncarnation, 2}, {"e1"}, TimePoint());
  CHECK(run.AcceptAnswer({kIncarnation, 2}, "second") == Acceptance::kFinished);
  CHECK(run.input() == "second");
}

TEST_CASE("an answer of another attempt is ignored") {
  Run run = MakeRun(1);
  CHECK(run.AcceptAnswer({kIncarnation, 1}, "early") == Acceptance::kIgnored);
  run.BeginAttempt({kIncarnation, 1}, {"e1"}, TimePoint());
  CHECK(run.FailAttempt({kIncarnation, 1}, AttemptEffect::kUnknown));
  run.BeginAttempt({kIncarnation, 2}, {"e2"}, TimePoint());
  CHECK(run.AcceptAnswer({kIncarnation, 1}, "late") == Acceptance::kIgnored);
  CHECK(run.AcceptAnswer({Incarnation{8}, 2}, "x") == Acceptance::kIgnored);
  CHECK(run.AcceptAnswer({kIncarnation, 2}, "own") == Acceptance::kFinished);
  CHECK(run.AcceptAnswer({kIncarnation, 2}, "twice") == Acceptance::kIgnored);
  CHECK(run.input() == "own");
}

TEST_SUITE_END();

TEST_CASE("executed() covers all stages") {
  Run run = MakeRun(2);
  CHECK(run.executed() == Executed::kNo);
  run.BeginAttempt({kIncarnation, 1}, {"e1"}, TimePoint());
  CHECK(run.executed() == Executed::kUnknown);
  run.FailAttempt({kIncarnation, 1}, AttemptEffect::kNotRun);
  CHECK(run.executed() == Executed::kNo);
  run.BeginAttempt({kIncarnation, 2}, {"e1"}, TimePoint());
  run.AcceptAnswer({kIncarnation, 2}, "first");
  CHECK(run.executed() == Executed::kYes);
  run.BeginAttempt({kIncarnation, 3}, {"e1"}, TimePoint());
  run.FailAttempt({kIncarnation, 3}, AttemptEffect::kUnknown);
  CHECK(run.executed() == Executed::kUnknown);
}

TEST_CASE("different requests have different digests") {
  RunRequest request;
  request.team = {"t"};
  request.pipeline = {"p"};
  request.body = "b";
  const std::string digest = DigestOf(request);
  CHECK(digest.size() == 32);
  CHECK(digest == DigestOf(request));
  RunRequest shifted = request;
  shifted.pipeline = {"pb"};
  shifted.body = "";
  CHECK(digest != DigestOf(shifted));
}

}  // namespace
}  // namespace bilberry::pipeline
