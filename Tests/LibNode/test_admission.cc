#include <doctest/doctest.h>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

using pipeline::Executed;

// The stages of "quotation" are declared to take 130 ms, "stock" and "booking"
// 10 ms.
TEST_CASE("what can't meet its deadline is refused at once, and nothing runs") {
  struct Row {
    const char* pipeline;
    const char* deadline_ms;
    policy::PolicyKind policy;
    bool is_refused;
  };
  const Row rows[] = {
      {"quotation", "129", policy::PolicyKind::kPresent, true},
      {"quotation", "130", policy::PolicyKind::kPresent, false},
      {"quotation", "129", policy::PolicyKind::kBaseline, false},
      {"stock", "9", policy::PolicyKind::kPresent, true},
      {"booking", "9", policy::PolicyKind::kPresent, true},
      {"booking", "10", policy::PolicyKind::kPresent, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.pipeline);
    CAPTURE(row.deadline_ms);
    fakes::PlatformStore store;
    fakes::PutSmallDeployment(store);
    NodeOptions options = fakes::MakeOptions("entry-1", 1);
    options.policy = row.policy;
    fakes::NodeHarness harness(store, options);
    harness.Feed(TimerDue{});
    CallerRequest request;
    request.caller = base::CallerId{1};
    request.pipeline = row.pipeline;
    request.team = "t";
    request.deadline_ms = row.deadline_ms;
    request.idempotency_key = "key-1";
    harness.Feed(request);
    CHECK(harness.TakeSent().empty() == row.is_refused);
    const auto answers = harness.TakeAnswers();
    REQUIRE(answers.empty() == !row.is_refused);
    if (!row.is_refused)
      continue;
    CHECK(answers[0].answer.status == 503);
    CHECK(answers[0].answer.executed == Executed::kNo);
    REQUIRE(answers[0].answer.error);
    CHECK(answers[0].answer.error->code == "deadline_unreachable");
    CHECK(answers[0].answer.error->retry_after);
  }
}

}  // namespace
}  // namespace bilberry::node
