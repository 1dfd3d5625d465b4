#include <doctest/doctest.h>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

using pipeline::Executed;

// The stages of "quotation" are declared to take 130 ms in all, those of
// "stock" and "booking" 10 ms.
TEST_CASE("a request that can't meet its deadline is refused before it runs") {
  struct Row {
    const char* pipeline;
    const char* deadline_ms;
    policy::PolicyKind policy;
    bool is_refused;
  };
  const Row rows[] = {
      {"quotation", "129", policy::PolicyKind::kAdaptive, true},
      {"quotation", "130", policy::PolicyKind::kAdaptive, false},
      {"quotation", "129", policy::PolicyKind::kBaseline, false},
      {"stock", "9", policy::PolicyKind::kAdaptive, true},
      {"booking", "9", policy::PolicyKind::kAdaptive, true},
      {"booking", "10", policy::PolicyKind::kAdaptive, false},
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

// One endpoint per pool. The endpoint for "stock" and "booking" has refused a
// request with a Retry-After of two seconds.
struct BackoffPool {
  BackoffPool() : harness(store, fakes::MakeOptions("entry-1", 1)) {
    fakes::PutSmallDeployment(store);
    harness.Feed(TimerDue{});
    harness.Call("stock");
    RefuseWithBackoff(harness.TakeSent().at(0));
    harness.TakeAnswers();
  }

  void RefuseWithBackoff(const SendToEndpoint& sent) {
    EndpointAnswer answer;
    answer.attempt = sent.attempt;
    answer.echoed_attempt = base::ToText(sent.attempt);
    answer.status = 503;
    answer.reported_not_run = true;
    answer.retry_after = kRetryAfter;
    harness.Feed(answer);
  }

  static constexpr std::chrono::milliseconds kRetryAfter{2000};
  fakes::PlatformStore store;
  fakes::NodeHarness harness;
};

TEST_CASE(
    "a request is refused while the whole pool is in a Retry-After time") {
  BackoffPool pool;
  pool.harness.Advance(std::chrono::milliseconds(500));
  pool.harness.Call("stock");
  CHECK(pool.harness.TakeSent().empty());
  const auto answers = pool.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.status == 503);
  CHECK(answers[0].answer.executed == Executed::kNo);
  REQUIRE(answers[0].answer.error);
  CHECK(answers[0].answer.error->code == "endpoints_quiet");
  // Not before the endpoint's Retry-After time ends, and not long after it.
  const auto retry_after = answers[0].answer.error->retry_after;
  REQUIRE(retry_after);
  CHECK(*retry_after >= std::chrono::milliseconds(1500));
  CHECK(*retry_after <= std::chrono::milliseconds(1875));
  // Other pools are not affected.
  pool.harness.Call("quotation");
  CHECK(pool.harness.TakeSent().size() == 1);
  pool.harness.Advance(std::chrono::milliseconds(1500));
  pool.harness.Call("stock");
  CHECK(pool.harness.TakeSent().size() == 1);
}

TEST_CASE("a request waits for a Retry-After time that ends soon") {
  BackoffPool pool;
  pool.harness.Advance(std::chrono::milliseconds(1960));
  pool.harness.Call("stock");
  CHECK(pool.harness.TakeSent().empty());
  CHECK(pool.harness.TakeAnswers().empty());
  pool.harness.Advance(std::chrono::milliseconds(40));
  CHECK(pool.harness.TakeSent().size() == 1);
}

TEST_CASE("a booking refused during a Retry-After time does not use its key") {
  BackoffPool pool;
  pool.harness.Call("booking", "key-1");
  CHECK(pool.harness.TakeSent().empty());
  const auto answers = pool.harness.TakeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer.executed == Executed::kNo);
  pool.harness.Advance(BackoffPool::kRetryAfter);
  pool.harness.Call("booking", "key-1");
  CHECK(pool.harness.TakeSent().size() == 1);
}

}  // namespace
}  // namespace bilberry::node
