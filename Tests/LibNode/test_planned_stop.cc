#include <doctest/doctest.h>

#include <algorithm>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

using fakes::NodeHarness;
using fakes::PlatformStore;

// The longest deadline of the small deployment.
constexpr std::chrono::seconds kLongestDeadline{3};

struct StoppingNode {
  StoppingNode() {
    fakes::PutSmallDeployment(store);
    harness.Feed(TimerDue{});
    harness.TakeOthers();
  }

  bool HasExited() {
    const Actions actions = harness.TakeOthers();
    return std::any_of(actions.begin(), actions.end(), [](const Action& it) {
      return std::holds_alternative<Exit>(it);
    });
  }

  PlatformStore store;
  NodeHarness harness{store, fakes::MakeOptions("entry-1", 1)};
};

TEST_SUITE_BEGIN("promise-6");

TEST_CASE("an idle host answers for a minimum time after a stop request") {
  StoppingNode it;
  it.harness.Feed(StopRequested{});
  CHECK(it.harness.node().readiness() == Readiness::kStopping);
  it.harness.Advance(std::chrono::milliseconds(1500));
  CHECK_FALSE(it.HasExited());
  it.harness.Call("stock");
  const auto answers = it.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 503);
  CHECK(answers[0].answer.executed == pipeline::Executed::kNo);
  CHECK(answers[0].answer.error->retry_after);
  CHECK(it.harness.TakeSent().empty());
  it.harness.Advance(kLongestDeadline - std::chrono::milliseconds(1500));
  CHECK(it.HasExited());
}

TEST_CASE("active runs complete before the host exits") {
  StoppingNode it;
  it.harness.Call("stock");
  const auto sent = it.harness.TakeSent();
  REQUIRE(sent.size() == 1);
  it.harness.Feed(StopRequested{});
  it.harness.Advance(std::chrono::milliseconds(900));
  it.harness.AnswerAttempt(sent[0], "{}");
  const auto answers = it.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 200);
  it.harness.Advance(kLongestDeadline - std::chrono::milliseconds(900));
  CHECK(it.HasExited());
}

TEST_CASE("a hung run delays the stop only until its deadline") {
  StoppingNode it;
  it.harness.Call("quotation");
  it.harness.Feed(StopRequested{});
  it.harness.Advance(kLongestDeadline - std::chrono::milliseconds(100));
  CHECK_FALSE(it.HasExited());
  it.harness.Advance(std::chrono::milliseconds(100));
  CHECK(it.HasExited());
}

TEST_CASE("a second stop request changes nothing") {
  StoppingNode it;
  it.harness.Feed(StopRequested{});
  it.harness.Advance(std::chrono::milliseconds(1500));
  it.harness.Feed(StopRequested{});
  it.harness.Advance(kLongestDeadline - std::chrono::milliseconds(1500));
  CHECK(it.HasExited());
  it.harness.Feed(StopRequested{});
  CHECK_FALSE(it.HasExited());
}

TEST_CASE("a host without a configuration stops at once") {
  PlatformStore store;
  NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Feed(TimerDue{});
  harness.TakeOthers();
  harness.Feed(StopRequested{});
  const Actions actions = harness.TakeOthers();
  CHECK(std::any_of(actions.begin(), actions.end(), [](const Action& it) {
    return std::holds_alternative<Exit>(it);
  }));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
