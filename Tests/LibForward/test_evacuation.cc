#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "LibForward/node_bench.h"

// Evacuated zones, whose endpoints get no requests, stage calls or requests to
// free results.
namespace bilberry::forward {
namespace {

constexpr const char* kKey = "evacuate/near";

FeedRow Row(const std::string& name,
            const std::string& pool,
            const std::string& zone) {
  ListedEndpoint endpoint = NodeBench::MakeEndpoint(name, pool);
  endpoint.zone.value = zone;
  return {name, endpoint};
}

// A host with an endpoint of each pool in each of two zones.
class EvacuationBench : public NodeBench {
 public:
  EvacuationBench() {
    ListEndpoints();
    actions.clear();
  }

  void ListEndpoints() {
    Feed(TableListed{FeedKind::kEndpoints,
                     {Row("e1", "llm", "near"), Row("e2", "llm", "far"),
                      Row("m1", "maker", "near"), Row("m2", "maker", "far")},
                     false,
                     2});
  }

  void Evacuate(uint64_t version) {
    Feed(TableChanged{
        FeedKind::kConfiguration, {{kKey, ZoneEvacuated{{"near"}}}}, version});
  }

  void Notice(const std::string& endpoint, const EndpointNotice& notice) {
    Feed(EndpointNoticeReceived{{endpoint}, {}, notice, now});
  }

  // Sends requests until one goes to the endpoint of the other zone; returns
  // its attempt.
  SendAttempt SendToFar() {
    for (;;) {
      ForwardedRequest request = Request(++callers);
      request.piece_counts = {};
      Feed(std::move(request));
      const SendAttempt* sent = Last<SendAttempt>();
      REQUIRE(sent != nullptr);
      if (sent->endpoint.value == "e2")
        return *sent;
    }
  }

  // Whether anything has been sent to the evacuated zone.
  bool HasSentThere() const {
    return std::ranges::any_of(actions, [](const Action& action) {
      if (const auto* it = std::get_if<SendAttempt>(&action))
        return it->endpoint.value == "e1";
      if (const auto* it = std::get_if<CallStage>(&action))
        return it->call.endpoint.value == "m1";
      const auto* it = std::get_if<FreeResults>(&action);
      return it != nullptr && it->free_request.endpoint.value == "m1";
    });
  }

  // Answers the stage calls among the given actions, or among all recorded
  // ones.
  void EndCalls() { EndCalls(std::vector<Action>(actions)); }
  void EndCalls(const std::vector<Action>& done) {
    for (const Action& action : done) {
      if (const auto* it = std::get_if<CallStage>(&action))
        EndStage(it->call);
    }
  }

  // Whether any of many requests, stage calls and requests to free results
  // goes to the evacuated zone.
  bool SendsThere() {
    actions.clear();
    for (int i = 0; i < 20; ++i)
      Feed(Request(++callers));
    for (int i = 0; i < 20; ++i) {
      EndCalls();
      Feed(CallerDisconnected{base::CallerId{callers - i}});
      now += milliseconds(20);
      Feed(TimerDue{});
    }
    return HasSentThere();
  }

  uint64_t callers = 100;
};

TEST_SUITE_BEGIN("policy");

TEST_CASE("nothing is sent to an evacuated zone") {
  EvacuationBench bench;
  CHECK(bench.SendsThere());
  bench.Evacuate(5);
  SUBCASE("at once") {}
  SUBCASE("while the store is unreachable") {
    bench.Feed(TableCallFailed{FeedKind::kConfiguration, "no answer"});
    bench.now += milliseconds(30'000);
  }
  SUBCASE("when its endpoints are listed again") {
    bench.Feed(
        TableListed{FeedKind::kEndpoints,
                    {Row("e1", "llm", "near"), Row("e2", "llm", "far"),
                     Row("m1", "maker", "near"), Row("m2", "maker", "far")},
                    false,
                    6});
  }
  SUBCASE("when the operators' rows are listed again with it") {
    bench.Feed(TableHistoryLost{FeedKind::kConfiguration});
    bench.Feed(TableListed{FeedKind::kConfiguration,
                           {{"c", NodeBench::MakeConfiguration()},
                            {kKey, ZoneEvacuated{{"near"}}}},
                           false,
                           7});
  }
  CHECK_FALSE(bench.SendsThere());
}

// Guards against requests, pieces and retries that were in progress when the
// zone was evacuated.
TEST_CASE(
    "work in progress doesn't continue in a zone that becomes evacuated") {
  EvacuationBench bench;
  AnswerHead refusal;
  refusal.status = 503;
  refusal.reported_not_run = true;
  bench.SendsThere();  // Fills the pool's retry budget.
  SUBCASE("a retry after a refusal") {
    const SendAttempt sent = bench.SendToFar();
    bench.Evacuate(5);
    bench.actions.clear();
    bench.Feed(AttemptAnswer{sent.attempt, refusal, ""});
  }
  SUBCASE("a retry after a failed connection") {
    const SendAttempt sent = bench.SendToFar();
    bench.Evacuate(5);
    bench.actions.clear();
    bench.Feed(AttemptFailure{sent.attempt, AttemptFailureKind::kUnreachable,
                              "no answer"});
  }
  SUBCASE("a resumed stream") {
    const SendAttempt sent = bench.SendToFar();
    bench.Feed(AttemptChunk{sent.attempt, GoodHead(sent.request->request_id),
                            "id: 0\n\n"});
    bench.Evacuate(5);
    bench.actions.clear();
    bench.Feed(
        AttemptFailure{sent.attempt, AttemptFailureKind::kBroken, "torn"});
    // The stream is resumed by the host and by its caller.
    for (int i = 0; i < 10; ++i) {
      ForwardedRequest request = NodeBench::Request(++bench.callers);
      request.piece_counts = {};
      request.last_event = "0";
      bench.Feed(std::move(request));
    }
  }
  SUBCASE("a wait for the end of a backoff") {
    bench.actions.clear();
    for (int i = 0; i < 2; ++i)
      bench.Feed(NodeBench::Request(++bench.callers));
    for (const char* name : {"e1", "e2"})
      bench.Notice(name, {false, milliseconds(400), std::nullopt});
    bench.EndCalls();
    bench.Evacuate(5);
    bench.actions.clear();
  }
  SUBCASE("a wait for a permit") {
    for (const char* name : {"e1", "e2"})
      bench.Notice(name, {false, std::nullopt, RequestLimit{2.0}});
    for (int i = 0; i < 6; ++i) {
      ForwardedRequest request = NodeBench::Request(++bench.callers);
      request.piece_counts = {};
      bench.Feed(std::move(request));
    }
    bench.Evacuate(5);
    bench.actions.clear();
  }
  SUBCASE("queued pieces") {
    for (int i = 0; i < 12; ++i)
      bench.Feed(NodeBench::Request(++bench.callers));
    const std::vector<Action> done = bench.actions;
    bench.Evacuate(5);
    bench.actions.clear();
    bench.EndCalls(done);
  }
  for (int i = 0; i < 30; ++i) {
    bench.now += milliseconds(50);
    bench.Feed(TimerDue{});
  }
  CHECK_FALSE(bench.HasSentThere());
}

TEST_CASE("a host that starts sends nothing to an evacuated zone") {
  EvacuationBench bench;
  // As after a start, the host knows only what the store lists now.
  bench.Feed(TableHistoryLost{FeedKind::kConfiguration});
  const FeedRow configuration{"c", NodeBench::MakeConfiguration()};
  const FeedRow row{kKey, ZoneEvacuated{{"near"}}};
  SUBCASE("by one page") {
    bench.Feed(
        TableListed{FeedKind::kConfiguration, {configuration, row}, false, 7});
  }
  SUBCASE("by a later page") {
    bench.Feed(TableListed{FeedKind::kConfiguration, {configuration}, true, 7});
    bench.Feed(TableListed{FeedKind::kConfiguration, {row}, false, 7});
  }
  SUBCASE("before the endpoints are known") {
    bench.Feed(
        TableListed{FeedKind::kConfiguration, {configuration, row}, false, 7});
    bench.Feed(TableListed{FeedKind::kEndpoints, {}, false, 8});
    bench.ListEndpoints();
  }
  CHECK_FALSE(bench.SendsThere());
}

// Guards against a truncated answer of the store that ends the evacuation.
TEST_CASE("an unreadable row doesn't end an evacuation") {
  EvacuationBench bench;
  bench.Evacuate(5);
  const FeedRow torn{kKey, RowUnreadable{"torn"}};
  SUBCASE("among changes") {
    bench.Feed(TableChanged{FeedKind::kConfiguration, {torn}, 6});
  }
  SUBCASE("among all rows") {
    bench.Feed(TableHistoryLost{FeedKind::kConfiguration});
    bench.Feed(TableListed{FeedKind::kConfiguration,
                           {{"c", NodeBench::MakeConfiguration()}, torn},
                           false,
                           7});
  }
  CHECK_FALSE(bench.SendsThere());
}

TEST_CASE("the last of several changes to a row in one answer counts") {
  EvacuationBench bench;
  const FeedRow written{kKey, ZoneEvacuated{{"near"}}};
  const FeedRow removed{kKey, RowRemoved{}};
  bool is_evacuated = false;
  SUBCASE("removed") {
    bench.Feed(TableChanged{FeedKind::kConfiguration, {written, removed}, 6});
  }
  SUBCASE("written again") {
    bench.Feed(
        TableChanged{FeedKind::kConfiguration, {written, removed, written}, 7});
    is_evacuated = true;
  }
  SUBCASE("in successive answers") {
    bench.Feed(TableChanged{FeedKind::kConfiguration, {written}, 5});
    bench.Feed(TableChanged{FeedKind::kConfiguration, {removed}, 6});
    bench.Feed(TableChanged{FeedKind::kConfiguration, {written}, 7});
    is_evacuated = true;
  }
  CHECK(bench.SendsThere() == !is_evacuated);
}

// The relay reports that the operators' rows have changed; the host reads the
// changes from the store.
TEST_CASE(
    "a host that follows a relay reads each change of an evacuation's row") {
  EvacuationBench bench;
  StoreSyncResponse response;
  response.revision = 1;
  for (const bool is_written : {true, false, true}) {
    response.operators_version += 10;
    bench.now += milliseconds(100);
    bench.actions.clear();
    bench.Feed(StoreSyncReceived{response});
    bench.Feed(TimerDue{});
    REQUIRE(bench.Last<FollowTable>() != nullptr);
    CHECK(bench.Last<FollowTable>()->feed == FeedKind::kConfiguration);
    FeedRow row{kKey, RowRemoved{}};
    if (is_written)
      row.content = ZoneEvacuated{{"near"}};
    bench.Feed(TableChanged{
        FeedKind::kConfiguration, {row}, response.operators_version});
    CHECK(bench.SendsThere() == !is_written);
  }
}

TEST_CASE("a zone gets requests again after its evacuation ends") {
  EvacuationBench bench;
  bench.Evacuate(5);
  CHECK_FALSE(bench.SendsThere());
  SUBCASE("its row is removed") {
    bench.Feed(
        TableChanged{FeedKind::kConfiguration, {{kKey, RowRemoved{}}}, 8});
  }
  SUBCASE("the operators' rows are listed again without it") {
    bench.Feed(TableHistoryLost{FeedKind::kConfiguration});
    bench.Feed(TableListed{FeedKind::kConfiguration,
                           {{"c", NodeBench::MakeConfiguration()}},
                           false,
                           8});
  }
  CHECK(bench.SendsThere());
}

TEST_CASE("other rows of the operators' table don't affect evacuations") {
  EvacuationBench bench;
  bench.Evacuate(5);
  bench.Feed(TableChanged{
      FeedKind::kConfiguration, {{"c", NodeBench::MakeConfiguration()}}, 6});
  bench.Feed(TableChanged{
      FeedKind::kConfiguration, {{"other", RowUnreadable{"torn"}}}, 7});
  CHECK_FALSE(bench.SendsThere());
}

TEST_CASE(
    "a host that missed a change of the operators' rows reads them again") {
  NodeBench bench;
  bench.actions.clear();
  StoreSyncResponse response;
  response.revision = 1;
  SUBCASE("a change newer than the known version") {
    response.operators_version = 9;
    bench.now += milliseconds(100);
    bench.Feed(StoreSyncReceived{response});
    bench.Feed(TimerDue{});
    const auto* follow = bench.Last<FollowTable>();
    REQUIRE(follow != nullptr);
    CHECK(follow->feed == FeedKind::kConfiguration);
  }
  SUBCASE("a known change") {
    response.operators_version = 1;
    bench.Feed(StoreSyncReceived{response});
    CHECK(bench.Last<FollowTable>() == nullptr);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
