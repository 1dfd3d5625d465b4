#include <doctest/doctest.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

using fakes::NodeHarness;
using fakes::PlatformStore;
using pipeline::Executed;

// Events of two active runs, in any order and any number.
enum class Step {
  kAnswerFirst,
  kAnswerSecond,
  kAnswerFirstWithSecondsId,
  kCutFirst,
  kFirstCallerLeaves,
  kTimePasses,
};
constexpr int kStepKinds = 6;
constexpr size_t kLength = 4;

using Order = std::array<Step, kLength>;

Order OrderOf(int number) {
  Order order{};
  for (Step& step : order) {
    step = Step{number % kStepKinds};
    number /= kStepKinds;
  }
  return order;
}

std::string AnswerTo(const std::string& body) {
  return "answer to " + body;
}

// Two callers of one pipeline, with different bodies.
class TwoRuns {
 public:
  explicit TwoRuns(const std::string& pipeline) {
    fakes::PutSmallDeployment(store_);
    harness_.Feed(TimerDue{});
    for (const char* body : {"first", "second"}) {
      const auto key = pipeline == "booking" ? std::optional<std::string>(body)
                                             : std::nullopt;
      callers_[harness_.Call(pipeline, key, body)] = body;
    }
    sent_ = harness_.TakeSent();
    REQUIRE(sent_.size() == 2);
  }

  void Take(Step step) {
    switch (step) {
      case Step::kAnswerFirst:
        harness_.AnswerAttempt(sent_[0], AnswerTo(sent_[0].body));
        return;
      case Step::kAnswerSecond:
        harness_.AnswerAttempt(sent_[1], AnswerTo(sent_[1].body));
        return;
      case Step::kAnswerFirstWithSecondsId: {
        EndpointAnswer answer;
        answer.attempt = sent_[0].attempt;
        answer.echoed_attempt = base::ToText(sent_[1].attempt);
        answer.status = 200;
        answer.body = AnswerTo(sent_[1].body);
        harness_.Feed(answer);
        return;
      }
      case Step::kCutFirst: {
        EndpointFailure failure;
        failure.attempt = sent_[0].attempt;
        harness_.Feed(failure);
        return;
      }
      case Step::kFirstCallerLeaves:
        harness_.Feed(CallerDisconnected{callers_.begin()->first});
        return;
      case Step::kTimePasses:
        harness_.Advance(std::chrono::milliseconds(1600));
        return;
    }
  }

  // Answers the retries, advances past all time-outs and checks the answers.
  void CheckEnd() {
    for (const SendToEndpoint& retry : harness_.TakeSent())
      harness_.AnswerAttempt(retry, AnswerTo(retry.body));
    harness_.Advance(std::chrono::seconds(40));
    std::map<base::CallerId, int> counts;
    for (const AnswerCaller& it : harness_.TakeAnswers()) {
      ++counts[it.caller];
      const bool is_whole =
          it.answer.executed == Executed::kYes && !it.answer.error.has_value();
      if (is_whole)
        CHECK(it.answer.body == AnswerTo(callers_.at(it.caller)));
      else
        CHECK(it.answer.body.empty());
    }
    for (const auto& [caller, body] : callers_)
      CHECK(counts[caller] == 1);
    CHECK(harness_.node().Status().runs == 0);
  }

 private:
  PlatformStore store_;
  NodeHarness harness_{store_, fakes::MakeOptions("entry-1", 1)};
  std::map<base::CallerId, std::string> callers_;
  std::vector<SendToEndpoint> sent_;
};

TEST_SUITE_BEGIN("promise-2");

TEST_CASE("each run ends once with its own answer, in every event order") {
  int order_count = 1;
  for (size_t i = 0; i < kLength; ++i)
    order_count *= kStepKinds;
  for (const char* pipeline : {"stock", "booking"}) {
    for (int number = 0; number < order_count; ++number) {
      CAPTURE(pipeline);
      CAPTURE(number);
      TwoRuns runs(pipeline);
      for (const Step step : OrderOf(number))
        runs.Take(step);
      runs.CheckEnd();
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
