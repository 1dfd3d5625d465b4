#include <doctest/doctest.h>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

using fakes::NodeHarness;
using fakes::PlatformStore;
using pipeline::Executed;

// A node that serves the small deployment.
struct ReadyNode {
  ReadyNode() {
    fakes::PutSmallDeployment(store);
    harness.Feed(TimerDue{});
    REQUIRE(harness.node().readiness() == Readiness::kReady);
    harness.TakeOthers();
  }

  PlatformStore store;
  NodeHarness harness{store, fakes::MakeOptions("entry-1", 1)};
};

TEST_CASE("a request passes through its four stages to a streamed answer") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  const auto caller = harness.Call("quotation", std::nullopt, "asked");
  std::string given = "asked";
  for (const char* path : {"/encode", "/retrieve", "/rerank"}) {
    const auto sent = harness.TakeSent();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].path == path);
    CHECK(sent[0].body == given);
    given = std::string("answer of ") + path;
    harness.AnswerAttempt(sent[0], given);
  }
  const auto sent = harness.TakeSent();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].delivery == declare::Delivery::kStreamed);
  harness.Feed(EndpointChunk{sent[0].attempt, base::ToText(sent[0].attempt),
                             "data: token\n\n"});
  harness.AnswerAttempt(sent[0], "");
  const auto others = harness.TakeOthers();
  REQUIRE(others.size() == 2);
  CHECK(std::get<StreamToCaller>(others[0]).bytes == "data: token\n\n");
  const auto& end = std::get<EndStream>(others[1]);
  CHECK(end.caller == caller);
  CHECK(end.answer.executed == Executed::kYes);
  CHECK_FALSE(end.answer.error);
}

TEST_CASE("a node without a configuration refuses at once") {
  PlatformStore store;
  NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Call("stock");
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 503);
  CHECK(answers[0].answer.error->code == "not_ready");
  CHECK(answers[0].answer.error->retry_after);
  CHECK(answers[0].answer.executed == Executed::kNo);
}

struct BadRequestCase {
  const char* pipeline;
  std::optional<std::string> team;
  std::optional<std::string> rank;
  std::optional<std::string> deadline_ms;
  std::optional<std::string> key;
  int status;
  const char* code;
};

TEST_CASE("invalid input is refused with its error code, and nothing runs") {
  const BadRequestCase cases[] = {
      {"none", "t", {}, {}, {}, 404, "unknown_pipeline"},
      {"stock", {}, {}, {}, {}, 400, "team_missing"},
      {"stock", "x", {}, {}, {}, 403, "unknown_team"},
      {"stock", "t", "high", {}, {}, 400, "bad_rank"},
      {"stock", "t", {}, "0", {}, 400, "bad_deadline"},
      {"stock", "t", {}, "-5", {}, 400, "bad_deadline"},
      {"stock", "t", {}, "5s", {}, 400, "bad_deadline"},
      {"stock", "t", {}, {}, "a b", 400, "bad_idempotency_key"},
      {"stock", "t", {}, {}, "", 400, "bad_idempotency_key"},
      {"booking", "t", {}, {}, {}, 400, "idempotency_key_missing"},
  };
  ReadyNode ready;
  uint64_t caller = 0;
  for (const BadRequestCase& bad : cases) {
    CAPTURE(bad.code);
    ready.harness.Feed(CallerRequest{base::CallerId{++caller}, bad.pipeline,
                                     bad.team, bad.rank, bad.deadline_ms,
                                     bad.key, "{}"});
    const auto answers = ready.harness.TakeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].answer.status == bad.status);
    CHECK(answers[0].answer.error->code == bad.code);
    CHECK(answers[0].answer.executed == Executed::kNo);
    CHECK(ready.harness.TakeSent().empty());
  }
}

TEST_CASE("an expired run is answered at its deadline and its slot freed") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  harness.Call("stock");
  const auto sent = harness.TakeSent();
  REQUIRE(sent.size() == 1);
  harness.Advance(std::chrono::milliseconds(999));
  CHECK(harness.TakeAnswers().empty());
  harness.Advance(std::chrono::milliseconds(1));
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 504);
  CHECK(answers[0].answer.executed == Executed::kUnknown);
  CHECK(harness.node().Status().runs == 0);
  for (const policy::PoolLoad& load : harness.node().Status().pools)
    CHECK(load.in_flight == 0);
}

TEST_SUITE_BEGIN("promise-1");

TEST_CASE("an answer that echoes another attempt is rejected") {
  ReadyNode ready;
  ready.harness.Call("stock");
  const auto sent = ready.harness.TakeSent();
  EndpointAnswer answer;
  answer.attempt = sent.at(0).attempt;
  answer.echoed_attempt = "another";
  answer.status = 200;
  answer.body = "someone else's vice history";
  ready.harness.Feed(answer);
  const auto answers = ready.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.error->code == "answer_mismatched");
  CHECK(answers[0].answer.body.empty());
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-2");

TEST_CASE("answers out of order reach their own callers, once") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  const auto first = harness.Call("stock");
  const auto second = harness.Call("stock");
  const auto sent = harness.TakeSent();
  REQUIRE(sent.size() == 2);
  harness.AnswerAttempt(sent[1], "to the second");
  harness.AnswerAttempt(sent[0], "to the first");
  harness.AnswerAttempt(sent[0], "doubled");
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].caller == second);
  CHECK(answers[0].answer.body == "to the second");
  CHECK(answers[1].caller == first);
  CHECK(answers[1].answer.body == "to the first");
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-3");

TEST_CASE("an endpoint's not-run refusal is answered as not run") {
  ReadyNode ready;
  ready.harness.Call("booking", "k");
  const auto sent = ready.harness.TakeSent();
  REQUIRE(sent.size() == 1);
  EndpointAnswer answer;
  answer.attempt = sent[0].attempt;
  answer.echoed_attempt = base::ToText(sent[0].attempt);
  answer.status = 503;
  answer.reported_not_run = true;
  ready.harness.Feed(answer);
  const auto answers = ready.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.executed == Executed::kNo);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("a repeated booking gets the recorded answer") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  harness.Call("booking", "k");
  const auto sent = harness.TakeSent();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].connection == ConnectionUse::kFresh);
  harness.AnswerAttempt(sent[0], "booked");
  harness.Call("booking", "k");
  CHECK(harness.TakeSent().empty());
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].answer.body == "booked");
  CHECK(answers[1].answer.body == "booked");
}

TEST_CASE("reuse of a key with another body is a conflict") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  harness.Call("booking", "k", "one");
  harness.AnswerAttempt(harness.TakeSent().at(0), "booked");
  harness.TakeAnswers();
  harness.Call("booking", "k", "two");
  CHECK(harness.TakeSent().empty());
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 409);
}

TEST_CASE("a booking is refused at once while the table is unreachable") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  harness.set_behavior(fakes::PlatformBehavior::kUnreachable);
  harness.Call("booking", "k");
  CHECK(harness.TakeSent().empty());
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 503);
  CHECK(answers[0].answer.executed == Executed::kNo);
  CHECK(answers[0].answer.error->retry_after);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-5");

TEST_CASE("an endpoint that reports leaving gets no new requests") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  harness.Call("stock");
  const auto sent = harness.TakeSent();
  EndpointAnswer answer;
  answer.attempt = sent.at(0).attempt;
  answer.echoed_attempt = base::ToText(answer.attempt);
  answer.status = 503;
  answer.reported_not_run = true;
  answer.reported_leaving = true;
  harness.Feed(answer);
  harness.Call("stock");
  CHECK(harness.TakeSent().empty());
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-6");

TEST_CASE("a planned stop waits for the active runs") {
  ReadyNode ready;
  NodeHarness& harness = ready.harness;
  harness.Call("stock");
  const auto sent = harness.TakeSent();
  harness.TakeOthers();
  harness.Feed(StopRequested{});
  harness.Feed(StopRequested{});
  CHECK(harness.node().readiness() == Readiness::kStopping);
  for (const Action& action : harness.TakeOthers())
    CHECK_FALSE(std::holds_alternative<Exit>(action));
  harness.Call("stock");
  CHECK(harness.TakeAnswers().at(0).answer.error->code == "stopping");
  harness.AnswerAttempt(sent.at(0), "whole");
  CHECK(harness.TakeAnswers().at(0).answer.body == "whole");
  for (const Action& action : harness.TakeOthers())
    CHECK_FALSE(std::holds_alternative<Exit>(action));
  // The host keeps answering for a while; test_planned_stop.cc checks the
  // times.
  harness.Advance(std::chrono::seconds(2));
  const auto others = harness.TakeOthers();
  REQUIRE_FALSE(others.empty());
  CHECK(std::holds_alternative<Exit>(others.back()));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-7");

TEST_CASE("a restored table does not revert the configuration") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  const auto old_rows = store.rows();
  NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Feed(TimerDue{});
  const auto head_key = std::string(membership::kConfigurationHeadKey);
  auto newer = membership::ParseHead(old_rows.at(head_key).value).value();
  newer.revision = base::Revision{2};
  store.Apply(base::WriteRows{{{head_key, old_rows.at(head_key).version,
                                membership::SerializeHead(newer)}}});
  harness.Advance(std::chrono::seconds(2));
  CHECK(harness.node().Status().revision == base::Revision{2});
  store.RestoreRows(old_rows);
  harness.Advance(std::chrono::seconds(2));
  CHECK(harness.node().Status().revision == base::Revision{2});
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
