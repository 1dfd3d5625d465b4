#include <doctest/doctest.h>

#include <memory>

#include "LibForward/forwarded_run.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

// A graph as in the users' pipelines: stage 0 is independent; stages 1, 2 and 3
// form a chain.
struct Graph {
  Graph() {
    pipeline.stages = {{{"p"}, {}, 3'000'000},
                       {{"p"}, {}, 8'000},
                       {{"q"}, {1}, 60'000},
                       {{"r"}, {2}, 6'000}};
    run.pipeline = &pipeline;
    run.stages.resize(4);
    run.stages[0].pieces = 2;
    run.stages[1].pieces = 1;
    run.stages[2].pieces = 8;
    run.stages[3].pieces = 16;
  }

  void Finish(size_t stage) {
    run.stages[stage].phase = StagePhase::kDone;
    run.stages[stage].results = LocatedResults{
        {"host"}, {{}, {"pool"}}, {{{"10.0.0.1", 80}, std::to_string(stage)}}};
  }

  ForwardedPipeline pipeline;
  ForwardedRun run;
};

TEST_CASE("stages become ready when all stages that they read are done") {
  Graph graph;
  CHECK(graph.run.ReadyStages() == std::vector<size_t>{0, 1});
  graph.Finish(1);
  CHECK(graph.run.ReadyStages() == std::vector<size_t>{0, 2});
  graph.Finish(2);
  graph.Finish(3);
  CHECK_FALSE(graph.run.AreStagesDone());
  graph.Finish(0);
  CHECK(graph.run.AreStagesDone());
}

TEST_CASE("the request reads the results that no stage reads") {
  Graph graph;
  for (const size_t stage : {0, 1, 2, 3})
    graph.Finish(stage);
  const auto inputs = graph.run.FinalInputs();
  REQUIRE(inputs.size() == 2);
  CHECK(inputs[0].handle == "0");
  CHECK(inputs[1].handle == "3");
  CHECK(graph.run.InputsOf(3).front().handle == "2");
}

TEST_CASE(
    "a stage's results can be released when all stages that read them are "
    "done") {
  Graph graph;
  graph.Finish(1);
  CHECK_FALSE(graph.run.IsReadByAll(1));
  graph.Finish(2);
  CHECK(graph.run.IsReadByAll(1));
  // The result of stage 0 is read by the request itself.
  CHECK_FALSE(graph.run.IsReadByAll(0));
}

TEST_CASE("the other stages end when their longest chain does") {
  Graph graph;
  const base::TimePoint now{milliseconds(5000)};
  const auto time_of = [](size_t stage) {
    return base::Duration(milliseconds(100 * static_cast<int>(stage)));
  };
  // Besides stage 0, the whole chain runs.
  CHECK(graph.run.EndOfOthers(0, now, time_of) == now + milliseconds(600));
  // Besides stage 1, only stage 0 runs, since the others depend on stage 1.
  CHECK(graph.run.EndOfOthers(1, now, time_of) == now);
  graph.Finish(1);
  graph.run.stages[2].phase = StagePhase::kRequested;
  graph.run.stages[2].requested_at = now - milliseconds(150);
  CHECK(graph.run.EndOfOthers(0, now, time_of) == now + milliseconds(350));
  // A stage that takes longer than expected may end at any time.
  graph.run.stages[2].requested_at = now - milliseconds(900);
  CHECK(graph.run.EndOfOthers(0, now, time_of) == now + milliseconds(300));
}

TEST_CASE("inputs expire when the first of them is dropped") {
  Graph graph;
  ForwardConfiguration configuration;
  ForwardedPool pool;
  pool.name.value = "p";
  pool.pieces = PieceLimits{};
  pool.pieces->result_life = milliseconds(4000);
  configuration.pools = {pool};
  graph.run.configuration =
      std::make_shared<const ForwardConfiguration>(configuration);
  CHECK_FALSE(graph.run.InputsExpireAt(1).has_value());
  graph.Finish(1);
  graph.run.stages[1].done = base::TimePoint(milliseconds(700));
  CHECK(graph.run.InputsExpireAt(2) == base::TimePoint(milliseconds(4700)));
}

TEST_CASE("the bytes moved by a piece count all readers of its result") {
  const Graph graph;
  CHECK(graph.run.BytesMoved(0) == 3'000'000);
  CHECK(graph.run.BytesMoved(1) == 8 * 8'000);
  CHECK(graph.run.BytesMoved(2) == 8'000 + 16 * 60'000);
  CHECK(graph.run.BytesMoved(3) == 8 * 60'000 + 6'000);
}

}  // namespace
}  // namespace bilberry::forward
