#include <doctest/doctest.h>

#include "Fakes/node_harness.h"
#include "LibPolicy/attempt_timeouts.h"
#include "LibPolicy/retry_budget.h"

namespace bilberry::node {
namespace {

using fakes::NodeHarness;
using fakes::PlatformStore;
using pipeline::Executed;

constexpr std::chrono::milliseconds kUsualTime{10};

struct SilentCase {
  explicit SilentCase(policy::PolicyKind policy = policy::PolicyKind::kAdaptive)
      : harness(store, OptionsOf(policy)) {
    fakes::PutSmallDeployment(store);
    base::HostEntry other = fakes::MakeEndpoint("desk-2", "desk");
    other.address.port = 9002;
    store.PutHost(other);
    harness.Feed(TimerDue{});
  }

  static NodeOptions OptionsOf(policy::PolicyKind policy) {
    NodeOptions options = fakes::MakeOptions("entry-1", 1);
    options.policy = policy;
    return options;
  }

  // Fills the retry budget and has the stage's time measured.
  void WarmUp() {
    for (uint32_t i = 0; i < policy::kFirstAttemptsPerRetry; ++i) {
      harness.Call("stock");
      harness.Advance(kUsualTime);
      harness.AnswerAttempt(harness.TakeSent().at(0), "warm");
    }
    harness.TakeAnswers();
    harness.TakeOthers();
  }

  SendToEndpoint CallOver(ConnectionAge connection) {
    harness.Call("stock");
    const auto sent = harness.TakeSent();
    REQUIRE(sent.size() == 1);
    harness.Feed(EndpointSending{sent[0].attempt, connection});
    return sent[0];
  }

  template <typename Kind>
  const Kind* FindAction(const Actions& actions) const {
    for (const Action& action : actions) {
      if (const auto* it = std::get_if<Kind>(&action))
        return it;
    }
    return nullptr;
  }

  PlatformStore store;
  NodeHarness harness;
};

TEST_SUITE_BEGIN("policy");

TEST_CASE("a silent reused connection costs far less than the deadline") {
  SilentCase test;
  NodeHarness& harness = test.harness;
  test.WarmUp();
  const SendToEndpoint silent = test.CallOver(ConnectionAge::kReused);
  harness.Advance(policy::kMinAttemptTimeout);
  const auto others = harness.TakeOthers();
  const auto* retired = test.FindAction<RetireConnections>(others);
  REQUIRE(retired != nullptr);
  CHECK(retired->address == silent.address);
  const auto* cancelled = test.FindAction<CancelAttempt>(others);
  REQUIRE(cancelled != nullptr);
  CHECK(cancelled->attempt == silent.attempt);
  const auto again = harness.TakeSent();
  REQUIRE(again.size() == 1);
  harness.AnswerAttempt(silent, "late");
  CHECK(harness.TakeAnswers().empty());
  harness.AnswerAttempt(again[0], "again");
  CHECK(harness.TakeAnswers().at(0).answer.body == "again");
}

TEST_CASE("a slow endpoint on a new connection is replaced by another") {
  SilentCase test;
  test.WarmUp();
  const SendToEndpoint slow = test.CallOver(ConnectionAge::kFresh);
  test.harness.Advance(policy::kMinAttemptTimeout);
  CHECK(test.FindAction<RetireConnections>(test.harness.TakeOthers()) ==
        nullptr);
  const auto again = test.harness.TakeSent();
  REQUIRE(again.size() == 1);
  CHECK(again[0].address != slow.address);
}

TEST_CASE("without retry budget the run waits for a slow answer") {
  SilentCase test;
  const SendToEndpoint slow = test.CallOver(ConnectionAge::kFresh);
  test.harness.Advance(std::chrono::milliseconds(900));
  CHECK(test.harness.TakeSent().empty());
  test.harness.AnswerAttempt(slow, "slow");
  CHECK(test.harness.TakeAnswers().at(0).answer.body == "slow");
}

TEST_CASE("the baseline waits until the deadline") {
  SilentCase test(policy::PolicyKind::kBaseline);
  test.WarmUp();
  test.CallOver(ConnectionAge::kReused);
  test.harness.Advance(std::chrono::milliseconds(999));
  CHECK(test.harness.TakeSent().empty());
  CHECK(test.harness.TakeAnswers().empty());
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("promise-4");

TEST_CASE("a booking on a silent connection is never retried") {
  SilentCase test;
  NodeHarness& harness = test.harness;
  test.WarmUp();
  harness.Call("booking", "k");
  const auto sent = harness.TakeSent();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].connection == ConnectionUse::kFresh);
  harness.Advance(std::chrono::milliseconds(3000));
  CHECK(harness.TakeSent().empty());
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.executed == Executed::kUnknown);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
