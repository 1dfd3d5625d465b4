#include <doctest/doctest.h>

#include <string>

#include "Fakes/node_harness.h"

namespace bilberry::node {
namespace {

using fakes::NodeHarness;
using fakes::PlatformStore;

// The small deployment without the pool "desk" and the pipelines that use it,
// except for "stock", which has moved to the engines.
constexpr const char* kWithoutDesk = R"({
  "deployment": "small", "zones": ["zone-a"],
  "ranks": {
    "urgent": {"minimum_share_percent": 50, "attainment_target_percent": 99},
    "ordinary": {"minimum_share_percent": 20, "attainment_target_percent": 99},
    "background": {"minimum_share_percent": 5, "attainment_target_percent": 90}
  },
  "pools": [
    {"name": "engines", "kind": "engine", "workers": 1, "slots_per_worker": 4}
  ],
  "pipelines": [
    {"name": "stock", "rank": "urgent", "deadline_ms": 1000, "stages": [
      {"name": "query", "kind": "call", "pool": "engines", "path": "/new-stock",
       "expected_ms": 10}]}
  ],
  "teams": [{"name": "t"}]
})";

bool HasPool(NodeHarness& harness, const std::string& name) {
  for (const policy::PoolLoad& load : harness.node().Status().pools) {
    if (load.pool.value == name)
      return true;
  }
  return false;
}

TEST_SUITE_BEGIN("promise-7");

TEST_CASE("a run keeps the configuration that it began with") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Feed(TimerDue{});
  harness.Call("quotation");
  auto sent = harness.TakeSent();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].path == "/encode");

  fakes::PutConfiguration(store, 2, kWithoutDesk);
  harness.Advance(std::chrono::milliseconds(1500));
  REQUIRE(harness.node().Status().revision == base::Revision{2});

  // A new run uses the new configuration, or is refused by it.
  harness.Call("stock");
  const auto of_new = harness.TakeSent();
  REQUIRE(of_new.size() == 1);
  CHECK(of_new[0].path == "/new-stock");
  harness.AnswerAttempt(of_new[0], "{}");
  harness.Call("booking", "key");
  const auto answers = harness.TakeAnswers();
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].answer.status == 200);
  CHECK(answers[1].answer.status == 404);

  // The active run still uses the removed pool.
  for (const char* path : {"/retrieve", "/rerank", "/generate"}) {
    CHECK(HasPool(harness, "desk"));
    harness.AnswerAttempt(sent[0], "{}");
    sent = harness.TakeSent();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].path == path);
  }
  harness.AnswerAttempt(sent[0], "{}");
  CHECK(harness.node().Status().runs == 0);
  CHECK_FALSE(HasPool(harness, "desk"));
  CHECK(HasPool(harness, "engines"));
}

TEST_CASE("an undeclared pool that no run uses is dropped") {
  PlatformStore store;
  fakes::PutSmallDeployment(store);
  NodeHarness harness(store, fakes::MakeOptions("entry-1", 1));
  harness.Feed(TimerDue{});
  CHECK(HasPool(harness, "desk"));
  fakes::PutConfiguration(store, 2, kWithoutDesk);
  harness.Advance(std::chrono::milliseconds(1500));
  CHECK_FALSE(HasPool(harness, "desk"));
  fakes::PutConfiguration(store, 3, fakes::SmallConfiguration());
  harness.Advance(std::chrono::milliseconds(1500));
  CHECK(HasPool(harness, "desk"));
  harness.Call("stock");
  CHECK(harness.TakeSent().size() == 1);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::node
