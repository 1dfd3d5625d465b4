#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "Fakes/node_harness.h"
#include "LibPolicy/retry_budget.h"

namespace bilberry::node {
namespace {

using fakes::NodeHarness;
using fakes::PlatformStore;
using pipeline::Executed;

base::HostEntry EndpointAt(const char* name, const char* pool, uint16_t port) {
  base::HostEntry entry = fakes::MakeEndpoint(name, pool);
  entry.address.port = port;
  return entry;
}

// A node with two endpoints per pool and enough retry budget after WarmUp().
struct TwoEndpoints {
  explicit TwoEndpoints(
      policy::PolicyKind policy = policy::PolicyKind::kAdaptive)
      : harness(store, OptionsOf(policy)) {
    fakes::PutSmallDeployment(store);
    store.PutHost(EndpointAt("desk-2", "desk", 9002));
    store.PutHost(EndpointAt("engine-2", "engines", 9003));
    harness.Feed(TimerDue{});
    REQUIRE(harness.node().readiness() == Readiness::kReady);
  }

  static NodeOptions OptionsOf(policy::PolicyKind policy) {
    NodeOptions options = fakes::MakeOptions("entry-1", 1);
    options.policy = policy;
    return options;
  }

  // Fills the retry budgets of both pools.
  void WarmUp() {
    const uint32_t calls =
        policy::kFirstAttemptsPerRetry * policy::kMaxSavedRetries;
    for (uint32_t i = 0; i < calls; ++i) {
      harness.Call("quotation");
      for (int stage = 0; stage < 4; ++stage)
        harness.AnswerAttempt(harness.TakeSent().at(0), "{}");
    }
    harness.TakeAnswers();
    harness.TakeOthers();
  }

  PlatformStore store;
  NodeHarness harness;
};

EndpointAnswer AnswerTo(const SendToEndpoint& sent, int status) {
  EndpointAnswer answer;
  answer.attempt = sent.attempt;
  answer.echoed_attempt = base::ToText(sent.attempt);
  answer.status = status;
  answer.body = "first";
  return answer;
}

Event Succeeding(const SendToEndpoint& sent) {
  return AnswerTo(sent, 200);
}

Event Mismatched(const SendToEndpoint& sent) {
  EndpointAnswer answer = AnswerTo(sent, 200);
  answer.echoed_attempt = "another";
  return answer;
}

Event Failing(const SendToEndpoint& sent) {
  return AnswerTo(sent, 500);
}

Event RejectingRequest(const SendToEndpoint& sent) {
  return AnswerTo(sent, 400);
}

Event RefusingNotRun(const SendToEndpoint& sent) {
  EndpointAnswer answer = AnswerTo(sent, 503);
  answer.reported_not_run = true;
  return answer;
}

Event Cut(const SendToEndpoint& sent) {
  return EndpointFailure{sent.attempt, EndpointFailureKind::kBroken,
                         ConnectionAge::kFresh, "cut"};
}

Event Unreachable(const SendToEndpoint& sent) {
  return EndpointFailure{sent.attempt, EndpointFailureKind::kUnreachable,
                         ConnectionAge::kFresh, "refused"};
}

enum class Retried { kNo, kYes };

struct FaultCase {
  const char* name;
  const char* pipeline;
  Event (*first)(const SendToEndpoint& sent);
  Retried retried;
  Executed executed;  // If the attempt is not retried.
};

TEST_SUITE_BEGIN("policy");

TEST_CASE(
    "only repeatable or not-run stages are retried, at another endpoint") {
  const FaultCase cases[] = {
      {"sound", "stock", Succeeding, Retried::kNo, Executed::kYes},
      {"wrong id", "stock", Mismatched, Retried::kYes, Executed::kUnknown},
      {"error", "stock", Failing, Retried::kYes, Executed::kUnknown},
      {"bad request", "stock", RejectingRequest, Retried::kNo, Executed::kYes},
      {"refused", "stock", RefusingNotRun, Retried::kYes, Executed::kNo},
      {"cut", "stock", Cut, Retried::kYes, Executed::kUnknown},
      {"unreachable", "stock", Unreachable, Retried::kYes, Executed::kNo},
      {"booking wrong id", "booking", Mismatched, Retried::kNo,
       Executed::kUnknown},
      {"booking error", "booking", Failing, Retried::kNo, Executed::kUnknown},
      {"booking cut", "booking", Cut, Retried::kNo, Executed::kUnknown},
      {"booking refused", "booking", RefusingNotRun, Retried::kYes,
       Executed::kNo},
      {"booking unreachable", "booking", Unreachable, Retried::kYes,
       Executed::kNo},
  };
  for (const FaultCase& each : cases) {
    CAPTURE(std::string(each.name));
    // Each case uses new hosts: three consecutive failures would eject an
    // endpoint and leave no other one.
    TwoEndpoints two;
    NodeHarness& harness = two.harness;
    two.WarmUp();
    harness.Call(each.pipeline, "key", each.name);
    const auto first = harness.TakeSent();
    REQUIRE(first.size() == 1);
    harness.Feed(each.first(first[0]));
    const auto second = harness.TakeSent();
    if (each.retried == Retried::kYes) {
      REQUIRE(second.size() == 1);
      CHECK(second[0].address != first[0].address);
      CHECK(second[0].attempt != first[0].attempt);
      CHECK(second[0].body == first[0].body);
      CHECK(harness.TakeAnswers().empty());
      harness.AnswerAttempt(second[0], "second");
    }
    CHECK(second.size() == (each.retried == Retried::kYes ? 1 : 0));
    // Late and duplicate answers are ignored.
    harness.Feed(Succeeding(first[0]));
    harness.Feed(each.first(first[0]));
    const auto answers = harness.TakeAnswers();
    REQUIRE(answers.size() == 1);
    if (each.retried == Retried::kYes)
      CHECK(answers[0].answer.body == "second");
    else
      CHECK(answers[0].answer.executed == each.executed);
    CHECK(harness.TakeSent().empty());
  }
}

TEST_CASE("a late answer is dropped while the retry is in flight") {
  TwoEndpoints two;
  two.WarmUp();
  two.harness.Call("stock");
  const auto first = two.harness.TakeSent();
  two.harness.Feed(Cut(first.at(0)));
  const auto second = two.harness.TakeSent();
  two.harness.Feed(Succeeding(first.at(0)));
  CHECK(two.harness.TakeAnswers().empty());
  two.harness.AnswerAttempt(second.at(0), "second");
  CHECK(two.harness.TakeAnswers().at(0).answer.body == "second");
}

TEST_CASE("without another endpoint the run fails at once") {
  TwoEndpoints two;
  two.WarmUp();
  two.harness.Call("stock");
  two.harness.Feed(Cut(two.harness.TakeSent().at(0)));
  two.harness.Feed(Failing(two.harness.TakeSent().at(0)));
  CHECK(two.harness.TakeSent().empty());
  const auto answers = two.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 502);
  CHECK(answers[0].answer.executed == Executed::kUnknown);
  CHECK(answers[0].answer.error->retry_after);
}

TEST_CASE("a stage that can't end by the deadline is not retried") {
  TwoEndpoints two;
  two.WarmUp();
  two.harness.Call("stock");
  const auto sent = two.harness.TakeSent();
  two.harness.Advance(std::chrono::milliseconds(995));
  for (const SendToEndpoint& more : two.harness.TakeSent())
    two.harness.Feed(Cut(more));
  two.harness.Feed(Cut(sent.at(0)));
  CHECK(two.harness.TakeSent().empty());
  CHECK(two.harness.TakeAnswers().size() == 1);
}

TEST_CASE("a retry after a leaving endpoint's refusal needs no budget") {
  TwoEndpoints two;
  two.harness.Call("stock");
  EndpointAnswer answer = AnswerTo(two.harness.TakeSent().at(0), 503);
  answer.reported_not_run = true;
  answer.reported_leaving = true;
  two.harness.Feed(answer);
  CHECK(two.harness.TakeSent().size() == 1);
}

TEST_CASE("the baseline never retries") {
  TwoEndpoints two(policy::PolicyKind::kBaseline);
  two.WarmUp();
  two.harness.Call("stock");
  two.harness.Feed(Cut(two.harness.TakeSent().at(0)));
  CHECK(two.harness.TakeSent().empty());
  CHECK(two.harness.TakeAnswers().at(0).answer.status == 502);
}

TEST_CASE("a failing pool gets at most 1.1 times the calls") {
  for (Event (*fault)(const SendToEndpoint&) :
       {Failing, Cut, Unreachable, RefusingNotRun, Mismatched}) {
    TwoEndpoints two;
    NodeHarness& harness = two.harness;
    constexpr size_t kCalls = 2000;
    size_t sent = 0;
    size_t answered = 0;
    for (size_t i = 0; i < kCalls; ++i) {
      harness.Call("stock", std::nullopt, std::to_string(i));
      for (auto more = harness.TakeSent(); !more.empty();
           more = harness.TakeSent()) {
        sent += more.size();
        for (const SendToEndpoint& each : more)
          harness.Feed(fault(each));
      }
      answered += harness.TakeAnswers().size();
      harness.Advance(std::chrono::milliseconds(10));
    }
    CHECK(answered == kCalls);
    CHECK(sent * 10 <= kCalls * 11);
  }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-1");

// Runs a "quotation" whose stream breaks after its first bytes; returns the
// attempt that requests the rest.
SendToEndpoint CutStream(NodeHarness& harness) {
  harness.Call("quotation");
  for (int stage = 0; stage < 3; ++stage)
    harness.AnswerAttempt(harness.TakeSent().at(0), "{}");
  const auto sent = harness.TakeSent();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].resume_offset == 0);
  harness.Feed(EndpointChunk{sent[0].attempt, base::ToText(sent[0].attempt),
                             "0123456789"});
  harness.TakeOthers();
  harness.Feed(Cut(sent[0]));
  const auto rest = harness.TakeSent();
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].resume_offset == 10);
  // Late parts of the first attempt are not mixed in.
  harness.Feed(
      EndpointChunk{sent[0].attempt, base::ToText(sent[0].attempt), "late"});
  return rest[0];
}

TEST_CASE("a broken stream resumes at the caller's offset") {
  TwoEndpoints two;
  NodeHarness& harness = two.harness;
  two.WarmUp();
  const SendToEndpoint rest = CutStream(harness);
  harness.Feed(
      EndpointChunk{rest.attempt, base::ToText(rest.attempt), "abc", 10});
  EndpointAnswer answer = AnswerTo(rest, 200);
  answer.resumed_from = 10;
  harness.Feed(answer);
  std::string given;
  const CallerAnswer* end = nullptr;
  const auto others = harness.TakeOthers();
  for (const Action& action : others) {
    if (const auto* part = std::get_if<StreamToCaller>(&action))
      given += part->bytes;
    if (const auto* it = std::get_if<EndStream>(&action))
      end = &it->answer;
  }
  CHECK(given == "abc");
  REQUIRE(end != nullptr);
  CHECK_FALSE(end->error);
}

TEST_CASE("a stream that restarts instead of resuming ends with an error") {
  for (const std::optional<uint64_t> resumed_from :
       {std::optional<uint64_t>(), std::optional<uint64_t>(9)}) {
    for (const bool has_bytes : {true, false}) {
      TwoEndpoints two;
      NodeHarness& harness = two.harness;
      two.WarmUp();
      const SendToEndpoint rest = CutStream(harness);
      if (has_bytes)
        harness.Feed(EndpointChunk{rest.attempt, base::ToText(rest.attempt),
                                   "0123456789abc", resumed_from});
      EndpointAnswer answer = AnswerTo(rest, 200);
      answer.resumed_from = resumed_from;
      harness.Feed(answer);
      size_t ends = 0;
      for (const Action& action : harness.TakeOthers()) {
        CHECK_FALSE(std::holds_alternative<StreamToCaller>(action));
        if (const auto* end = std::get_if<EndStream>(&action)) {
          ++ends;
          REQUIRE(end->answer.error);
          CHECK(end->answer.error->code == "stream_not_resumed");
        }
      }
      CHECK(ends == 1);
      CHECK(harness.TakeSent().empty());
    }
  }
}

TEST_CASE("an error status for the rest of a stream does not complete it") {
  for (const int status : {400, 404, 408, 409, 421, 422, 429, 500, 503}) {
    for (const bool reported_not_run : {false, true}) {
      CAPTURE(status);
      CAPTURE(reported_not_run);
      TwoEndpoints two;
      NodeHarness& harness = two.harness;
      two.WarmUp();
      const SendToEndpoint rest = CutStream(harness);
      EndpointAnswer answer = AnswerTo(rest, status);
      answer.reported_not_run = reported_not_run;
      answer.body = "its text";
      harness.Feed(answer);
      harness.Advance(std::chrono::seconds(30));
      size_t ends = 0;
      for (const Action& action : harness.TakeOthers()) {
        CHECK_FALSE(std::holds_alternative<StreamToCaller>(action));
        if (const auto* end = std::get_if<EndStream>(&action)) {
          ++ends;
          CHECK(end->answer.error);
        }
      }
      CHECK(ends == 1);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
