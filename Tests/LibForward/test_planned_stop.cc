#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

#include "LibForward/node_bench.h"

// What a stopping host does with requests that it has taken.
namespace bilberry::forward {
namespace {

// Shortly before new requests are refused.
constexpr milliseconds kLateArrival{2400};
// What an endpoint needs for a request that may run once, and some more.
constexpr milliseconds kServiceTime{1000};

// A pipeline with so long a timeout that the stop comes first.
std::shared_ptr<const ForwardConfiguration> LongConfiguration() {
  ForwardConfiguration configuration = *NodeBench::MakeConfiguration();
  ForwardedPipeline& pipeline = configuration.pipelines.front();
  pipeline.timeout = milliseconds(20'000);
  pipeline.target_latency = milliseconds(15'000);
  pipeline.repeatability = declare::Repeatability::kRepeatable;
  pipeline.max_attempts = 2;
  return std::make_shared<const ForwardConfiguration>(configuration);
}

struct StoppingNode {
  StoppingNode() {
    EarnRetry();
    bench.Feed(StopRequested{});
    bench.PassTo(began + kLateArrival);
    ForwardedRequest request = NodeBench::Request(1);
    request.budget = milliseconds(20'000);
    bench.Feed(std::move(request));
    REQUIRE(bench.Last<CallStage>() != nullptr);
    call = bench.Last<CallStage>()->call;
    bench.actions.clear();
  }

  // Successful requests, which the retry budget asks for.
  void EarnRetry() {
    for (uint64_t caller = 100; caller < 110; ++caller) {
      ForwardedRequest request = NodeBench::Request(caller);
      request.piece_counts.clear();
      bench.Feed(std::move(request));
      bench.Feed(AttemptAnswer{bench.Last<SendAttempt>()->attempt,
                               GoodHead("r" + std::to_string(caller)), ""});
    }
  }

  base::TimePoint end() const {
    return began + NodeBench::Options().stop_timeout;
  }

  NodeBench bench{LongConfiguration()};
  base::TimePoint began = bench.now;
  StageCall call;
};

TEST_SUITE_BEGIN("planned-stop");

// Guards against a request being passed on so late in a planned stop that its
// fate stays unknown (LOST).
TEST_CASE("a request that can't be served before a stop ends is not sent") {
  StoppingNode it;
  it.bench.PassTo(it.end() - kServiceTime);
  const auto* answer = it.bench.Last<AnswerCaller>();
  REQUIRE(answer != nullptr);
  CHECK(answer->code == LocalAnswerCode::kStopping);
  CHECK(answer->retry_after.has_value());
  it.bench.EndStage(it.call);
  CHECK(it.bench.Last<SendAttempt>() == nullptr);
}

TEST_CASE("a request is not sent again so late in a stop") {
  StoppingNode it;
  it.bench.EndStage(it.call);
  REQUIRE(it.bench.Last<SendAttempt>() != nullptr);
  const base::AttemptId attempt = it.bench.Last<SendAttempt>()->attempt;
  it.bench.PassTo(it.end() - kServiceTime);
  CHECK(it.bench.Last<AnswerCaller>() == nullptr);
  it.bench.actions.clear();
  it.bench.Feed(AttemptFailure{attempt, AttemptFailureKind::kBroken, "reset"});
  it.bench.EndHealthCheck(HealthCheckResult::kSameProcess);
  CHECK(it.bench.Last<CallStage>() == nullptr);
  REQUIRE(it.bench.Last<AnswerCaller>() != nullptr);
  CHECK(it.bench.Last<AnswerCaller>()->code == LocalAnswerCode::kAttemptFailed);
}

TEST_CASE("a request in flight is answered until the stop ends") {
  StoppingNode it;
  it.bench.EndStage(it.call);
  REQUIRE(it.bench.Last<SendAttempt>() != nullptr);
  const base::AttemptId attempt = it.bench.Last<SendAttempt>()->attempt;
  it.bench.PassTo(it.end() - milliseconds(10));
  it.bench.Feed(AttemptAnswer{attempt, GoodHead("r1"), "body"});
  CHECK(it.bench.Last<ForwardAnswer>() != nullptr);
  CHECK(it.bench.Last<Exit>() != nullptr);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
