#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "LibForward/node_bench.h"

// Zones whose endpoints get nothing as long as operators want it so.
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
    Feed(TableListed{FeedKind::kEndpoints,
                     {Row("e1", "llm", "near"), Row("e2", "llm", "far"),
                      Row("m1", "maker", "near"), Row("m2", "maker", "far")},
                     false,
                     2});
    actions.clear();
  }

  void Evacuate(uint64_t version) {
    Feed(TableChanged{
        FeedKind::kConfiguration, {{kKey, ZoneEvacuated{{"near"}}}}, version});
  }

  // Whether any of many requests, calls and orders goes to the zone.
  bool SendsThere() {
    actions.clear();
    for (int i = 0; i < 20; ++i)
      Feed(Request(++callers));
    for (int i = 0; i < 20; ++i) {
      const std::vector<Action> done = actions;
      for (const Action& action : done) {
        if (const auto* it = std::get_if<CallStage>(&action))
          EndStage(it->call);
      }
      Feed(CallerLeft{base::CallerId{callers - i}});
      now += milliseconds(20);
      Feed(TimerDue{});
    }
    return std::ranges::any_of(actions, [](const Action& action) {
      if (const auto* it = std::get_if<SendAttempt>(&action))
        return it->endpoint.value == "e1";
      if (const auto* it = std::get_if<CallStage>(&action))
        return it->call.endpoint.value == "m1";
      const auto* it = std::get_if<FreeResults>(&action);
      return it != nullptr && it->order.endpoint.value == "m1";
    });
  }

  uint64_t callers = 100;
};

TEST_SUITE_BEGIN("policy");

TEST_CASE("nothing is sent to a zone that is evacuated") {
  EvacuationBench bench;
  CHECK(bench.SendsThere());
  bench.Evacuate(5);
  SUBCASE("at once") {}
  SUBCASE("while the store is out of reach") {
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

TEST_CASE("a zone that is taken back gets its share again") {
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

TEST_CASE("what is in the operators' table beside changes no evacuation") {
  EvacuationBench bench;
  bench.Evacuate(5);
  bench.Feed(TableChanged{
      FeedKind::kConfiguration, {{"c", NodeBench::MakeConfiguration()}}, 6});
  bench.Feed(TableChanged{
      FeedKind::kConfiguration, {{"other", RowUnreadable{"torn"}}}, 7});
  CHECK_FALSE(bench.SendsThere());
}

TEST_CASE("a host that has missed a change of operators' rows hears of it") {
  NodeBench bench;
  bench.actions.clear();
  News news;
  news.revision = 1;
  SUBCASE("which is newer than what it knows") {
    news.operators_version = 9;
    bench.now += milliseconds(100);
    bench.Feed(NewsHeard{news});
    bench.Feed(TimerDue{});
    const auto* follow = bench.Last<FollowTable>();
    REQUIRE(follow != nullptr);
    CHECK(follow->feed == FeedKind::kConfiguration);
  }
  SUBCASE("which it knows") {
    news.operators_version = 1;
    bench.Feed(NewsHeard{news});
    CHECK(bench.Last<FollowTable>() == nullptr);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
