#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "LibForward/node_bench.h"

// Streams in pools whose endpoints have different software versions.
namespace bilberry::forward {
namespace {

std::shared_ptr<const ForwardConfiguration> ResumableStreams() {
  auto configuration = *NodeBench::MakeConfiguration();
  configuration.pipelines[0].may_resume = true;
  configuration.pipelines[0].max_attempts = 3;
  return std::make_shared<const ForwardConfiguration>(configuration);
}

// A host whose endpoints are named by their software version: v1-a, v2-b.
class VersionBench : public NodeBench {
 public:
  explicit VersionBench(const std::vector<std::string>& endpoints)
      : NodeBench(ResumableStreams()) {
    ListEndpoints(endpoints);
    // Enough requests to earn retries.
    for (uint64_t caller = 100; caller < 140; ++caller)
      EndWhole(Send(caller));
    actions.clear();
  }

  static std::string VersionOf(const base::EndpointName& name) {
    return name.value.substr(0, 2);
  }

  void ListEndpoints(const std::vector<std::string>& names) {
    std::vector<FeedRow> rows;
    for (const std::string& it : names) {
      ListedEndpoint endpoint = MakeEndpoint(it, "llm");
      endpoint.software_version = VersionOf(endpoint.name);
      rows.push_back({it, endpoint});
    }
    Feed(TableListed{FeedKind::kEndpoints, rows, false, ++version});
  }

  // The attempt sent for a new request.
  SendAttempt Send(uint64_t caller) {
    ForwardedRequest request = Request(caller);
    request.piece_counts = {};
    Feed(std::move(request));
    const auto* sent = Last<SendAttempt>();
    REQUIRE(sent != nullptr);
    return *sent;
  }

  void Begin(const SendAttempt& send) {
    AnswerHead head = GoodHead(send.request->request_id);
    head.content_type = "text/event-stream";
    Feed(AttemptChunk{send.attempt, head, "id: 0\n\n"});
  }
  void Break(const SendAttempt& send) {
    Feed(AttemptFailure{send.attempt, AttemptFailureKind::kBroken, "reset"});
    if (Last<CheckEndpointHealth>() != nullptr)
      EndHealthCheck(HealthCheckResult::kSameProcess);
  }
  void EndWhole(const SendAttempt& send) {
    Feed(AttemptAnswer{send.attempt, GoodHead(send.request->request_id), ""});
  }

  uint64_t version = 1;
};

TEST_SUITE_BEGIN("stream-versions");

TEST_CASE("a host goes on with a broken stream only at the same version") {
  for (uint64_t caller = 1; caller < 30; ++caller) {
    CAPTURE(caller);
    VersionBench bench({"v1-a", "v1-b", "v2-a", "v2-b", "v2-c"});
    const SendAttempt first = bench.Send(caller);
    bench.Begin(first);
    bench.Break(first);
    const auto* rest = bench.Last<SendAttempt>();
    REQUIRE(rest->attempt.number != first.attempt.number);
    CHECK(rest->resume_after == "0");
    CHECK(bench.VersionOf(rest->endpoint) == bench.VersionOf(first.endpoint));
  }
}

TEST_CASE("a stream ends when no other endpoint of its version is left") {
  VersionBench bench({"v1-a", "v2-a", "v2-b", "v2-c"});
  SendAttempt first = bench.Send(1);
  for (uint64_t caller = 2; first.endpoint.value != "v1-a"; ++caller) {
    REQUIRE(caller < 50);
    first = bench.Send(caller);
  }
  bench.Begin(first);
  bench.Break(first);
  CHECK(bench.Last<SendAttempt>()->attempt.number == first.attempt.number);
  REQUIRE(bench.Last<EndStream>() != nullptr);
  CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kCut);
}

TEST_CASE("a request without a first event goes to any version") {
  bool has_changed_version = false;
  for (uint64_t caller = 1; caller < 30; ++caller) {
    VersionBench bench({"v1-a", "v2-a", "v2-b"});
    const SendAttempt first = bench.Send(caller);
    bench.Break(first);
    const auto* second = bench.Last<SendAttempt>();
    has_changed_version |=
        bench.VersionOf(second->endpoint) != bench.VersionOf(first.endpoint);
  }
  CHECK(has_changed_version);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
