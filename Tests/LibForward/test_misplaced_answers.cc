#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

#include "LibForward/node_bench.h"

// Answers that belong to other requests, or don't fit what came before them.
namespace bilberry::forward {
namespace {

std::shared_ptr<const ForwardConfiguration> PipelineOf(
    declare::Repeatability repeatability) {
  auto configuration = *NodeBench::MakeConfiguration();
  configuration.pipelines[0].delivery = declare::Delivery::kWhole;
  configuration.pipelines[0].repeatability = repeatability;
  return std::make_shared<const ForwardConfiguration>(configuration);
}

std::shared_ptr<const ForwardConfiguration> ResumableStreams() {
  auto configuration = *NodeBench::MakeConfiguration();
  configuration.pipelines[0].may_resume = true;
  configuration.pipelines[0].max_attempts = 2;
  return std::make_shared<const ForwardConfiguration>(configuration);
}

// Feeds a request without stages and returns the attempt sent for it.
SendAttempt Send(NodeBench& bench, uint64_t caller) {
  ForwardedRequest request = NodeBench::Request(caller);
  request.piece_counts = {};
  bench.Feed(std::move(request));
  return *bench.Last<SendAttempt>();
}

AnswerHead RefusalOf(const std::string& request) {
  AnswerHead head;
  head.status = 503;
  head.echoed_request_id = request;
  head.reported_not_run = true;
  return head;
}

// Feeds enough successful requests to earn one retry.
void EarnRetry(NodeBench& bench) {
  for (uint64_t caller = 100; caller < 110; ++caller) {
    const SendAttempt send = Send(bench, caller);
    bench.Feed(
        AttemptAnswer{send.attempt, GoodHead(send.request->request_id), ""});
  }
  bench.actions.clear();
}

// Forwards the first event of a stream and breaks the attempt; returns the
// attempt that resumes the stream at another endpoint.
SendAttempt ResumedStream(NodeBench& bench) {
  EarnRetry(bench);
  const SendAttempt first = Send(bench, 1);
  AnswerHead head = GoodHead("r1");
  head.content_type = "text/event-stream";
  bench.Feed(AttemptChunk{first.attempt, head, "id: 0\n\n"});
  bench.Feed(
      AttemptFailure{first.attempt, AttemptFailureKind::kBroken, "reset"});
  bench.EndHealthCheck(HealthCheckResult::kSameProcess);
  SendAttempt rest = *bench.Last<SendAttempt>();
  REQUIRE(rest.endpoint != first.endpoint);
  REQUIRE(rest.resume_after == "0");
  return rest;
}

std::string ForwardedText(const NodeBench& bench) {
  std::string text;
  for (const Action& action : bench.actions) {
    if (const auto* it = std::get_if<StreamToCaller>(&action))
      text += it->bytes;
  }
  return text;
}

size_t SendCount(const NodeBench& bench) {
  size_t n = 0;
  for (const Action& action : bench.actions)
    n += std::holds_alternative<SendAttempt>(action) ? 1 : 0;
  return n;
}

TEST_CASE("a refusal that names another request is no proof that nothing ran") {
  NodeBench bench(PipelineOf(declare::Repeatability::kAtMostOnce));
  EarnRetry(bench);
  const SendAttempt send = Send(bench, 1);
  bench.Feed(AttemptAnswer{send.attempt, RefusalOf("r100"), ""});
  CHECK(SendCount(bench) == 1);
  REQUIRE(bench.Last<AnswerCaller>() != nullptr);
  CHECK(bench.Last<AnswerCaller>()->code == LocalAnswerCode::kAttemptFailed);
  CHECK(bench.Last<RetireConnections>() != nullptr);
}

TEST_CASE(
    "a refusal without a request id counts only on an unshared connection") {
  for (const auto repeatability : {declare::Repeatability::kAtMostOnce,
                                   declare::Repeatability::kRepeatable}) {
    const bool is_shared = repeatability == declare::Repeatability::kRepeatable;
    CAPTURE(is_shared);
    NodeBench bench(PipelineOf(repeatability));
    EarnRetry(bench);
    const SendAttempt send = Send(bench, 1);
    bench.Feed(AttemptAnswer{send.attempt, RefusalOf(""), ""});
    CHECK((bench.Last<RetireConnections>() != nullptr) == is_shared);
    CHECK((SendCount(bench) == 2) == !is_shared);
  }
}

TEST_CASE("a refusal after a stream has begun isn't believed") {
  NodeBench bench;
  EarnRetry(bench);
  const SendAttempt send = Send(bench, 1);
  bench.Feed(AttemptChunk{send.attempt, GoodHead("r1"), "id: 0\n\n"});
  AnswerHead head = GoodHead("r1");
  head.reported_not_run = true;
  bench.Feed(AttemptAnswer{send.attempt, head, ""});
  CHECK(SendCount(bench) == 1);
  REQUIRE(bench.Last<EndStream>() != nullptr);
  CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kCut);
}

TEST_CASE(
    "an error status for a resumed stream truncates it and adds no bytes") {
  for (const int status :
       {204, 301, 400, 404, 408, 409, 421, 429, 500, 503, 504}) {
    CAPTURE(status);
    NodeBench bench(ResumableStreams());
    const SendAttempt rest = ResumedStream(bench);
    AnswerHead head = GoodHead("r1");
    head.status = status;
    bench.Feed(AttemptAnswer{rest.attempt, head, "its text\n\n"});
    CHECK(ForwardedText(bench) == "id: 0\n\n");
    REQUIRE(bench.Last<EndStream>() != nullptr);
    CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kCut);
  }
}

TEST_CASE("a refusal to resume a stream truncates the stream") {
  NodeBench bench(ResumableStreams());
  const SendAttempt rest = ResumedStream(bench);
  bench.Feed(AttemptAnswer{rest.attempt, RefusalOf("r1"), "its text\n\n"});
  CHECK(ForwardedText(bench) == "id: 0\n\n");
  REQUIRE(bench.Last<EndStream>() != nullptr);
  CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kCut);
  CHECK(bench.Last<AnswerCaller>() == nullptr);
}

TEST_CASE("an answer of another content type doesn't continue a stream") {
  for (const bool has_length : {false, true}) {
    CAPTURE(has_length);
    NodeBench bench(ResumableStreams());
    const SendAttempt rest = ResumedStream(bench);
    AnswerHead head = GoodHead("r1");
    head.content_type = "text/html";
    if (!has_length)
      bench.Feed(AttemptChunk{rest.attempt, head, "<p>busy</p>\n\n"});
    bench.Feed(AttemptAnswer{rest.attempt, head, ""});
    CHECK(ForwardedText(bench) == "id: 0\n\n");
    REQUIRE(bench.Last<EndStream>() != nullptr);
    CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kCut);
  }
}

TEST_CASE("a resumed stream without further events ends as complete") {
  NodeBench bench(ResumableStreams());
  const SendAttempt rest = ResumedStream(bench);
  AnswerHead head = GoodHead("r1");
  head.content_type = "text/event-stream; charset=utf-8";
  bench.Feed(AttemptAnswer{rest.attempt, head, ""});
  CHECK(ForwardedText(bench) == "id: 0\n\n");
  REQUIRE(bench.Last<EndStream>() != nullptr);
  CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kWhole);
}

TEST_CASE("a stream without event ids is not resumed") {
  NodeBench bench(ResumableStreams());
  EarnRetry(bench);
  const SendAttempt first = Send(bench, 1);
  bench.Feed(AttemptChunk{first.attempt, GoodHead("r1"), "data: a\n\n"});
  bench.Feed(
      AttemptFailure{first.attempt, AttemptFailureKind::kBroken, "reset"});
  CHECK(SendCount(bench) == 1);
  REQUIRE(bench.Last<EndStream>() != nullptr);
  CHECK(bench.Last<EndStream>()->outcome == StreamOutcome::kCut);
}

}  // namespace
}  // namespace bilberry::forward
