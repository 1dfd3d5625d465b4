#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "LibForward/cold_endpoints.h"
#include "LibForward/node_bench.h"
#include "LibForward/table_change_log.h"

// Endpoints that are cold, and what they are sent meanwhile.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

constexpr base::Incarnation kFirstLife{1};
constexpr base::Incarnation kSecondLife{2};

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

ListedEndpoint Life(base::Incarnation incarnation) {
  ListedEndpoint endpoint = NodeBench::MakeEndpoint("e1", "llm");
  endpoint.incarnation = incarnation;
  return endpoint;
}

ColdEndpoints TimesOfPool(double pace) {
  ColdEndpoints times;
  times.SetPaces({{{"llm"}, pace}});
  return times;
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("two hosts that grant stay within what a cold endpoint bears") {
  for (const double bears : {1.0, 4.0, 11.0, 100.0}) {
    for (const ColdRateBound bound :
         {ColdRateBound{1.5, 5}, ColdRateBound{2, 3}, ColdRateBound{1.2, 8}}) {
      const double pace = ColdRatePerHost(bears, bound);
      CHECK(pace > 0);
      CHECK(pace <= bears);
      CHECK(2 * (pace + 1) <= bears * bound.over + bound.slack);
      // Calls and orders of a dispatcher, and calls of hosts in its place.
      CHECK(1.75 * pace + 3 <= bears * bound.over + bound.slack);
    }
  }
  CHECK(ColdRatePerHost(11, {1, 0}) > 0);
}

TEST_CASE("a cold endpoint's pace grows in steps behind its cold time") {
  ColdEndpoints times = TimesOfPool(8);
  CHECK(times.Note(Life(kFirstLife), seconds(3), At(1000)));
  CHECK(times.RateOf({"e1"}, kFirstLife) == 8.0);
  CHECK(times.NextStep() == At(4000));
  const std::pair<int64_t, double> steps[] = {
      {3999, 8}, {4000, 16}, {4500, 32}, {5000, 64}};
  for (const auto& [ms, rate] : steps) {
    CHECK(times.TakeWarm(At(ms)).empty());
    CHECK(times.RateOf({"e1"}, kFirstLife) == rate);
  }
  CHECK(times.TakeWarm(At(5500)).size() == 1);
  CHECK_FALSE(times.RateOf({"e1"}, kFirstLife).has_value());
  CHECK_FALSE(times.NextStep().has_value());
}

TEST_CASE("an endpoint's newest word says how long it is cold") {
  ColdEndpoints times = TimesOfPool(8);
  CHECK(times.Note(Life(kFirstLife), seconds(3), At(0)));
  CHECK_FALSE(times.Note(Life(kFirstLife), seconds(2), At(1000)));
  CHECK(times.ReportOf({"e1"}, kFirstLife, At(1000))->left == seconds(2));
  // It is cold once more, and then sooner warm than it said.
  times.Note(Life(kFirstLife), seconds(9), At(2000));
  times.Note(Life(kFirstLife), seconds(0), At(3000));
  CHECK_FALSE(times.ReportOf({"e1"}, kFirstLife, At(3000)).has_value());
  CHECK(times.RateOf({"e1"}, kFirstLife) == 16.0);
  // Saying so again puts nothing off.
  times.Note(Life(kFirstLife), seconds(0), At(4000));
  CHECK(times.TakeWarm(At(4500)).size() == 1);
}

TEST_CASE("one life's cold time is not another's") {
  ColdEndpoints times = TimesOfPool(8);
  times.Note(Life(kFirstLife), seconds(3), At(0));
  CHECK_FALSE(times.RateOf({"e1"}, kSecondLife).has_value());
  times.Note(Life(kSecondLife), seconds(3), At(1000));
  CHECK(times.RateOf({"e1"}, kSecondLife) == 8.0);
  times.Note(Life(kFirstLife), seconds(0), At(1000));
  CHECK(times.RateOf({"e1"}, kSecondLife) == 8.0);
}

// Guards against a word that keeps itself alive on its way round.
TEST_CASE("a peer's word that an endpoint is cold adds, and isn't told again") {
  ColdEndpoints times = TimesOfPool(8);
  times.NoteByPeer({"e1"}, kFirstLife, {5, seconds(2)}, At(0));
  // Where the endpoint isn't known yet, the peer says what it bears.
  CHECK(times.RateOf({"e1"}, kFirstLife) == 5.0);
  CHECK_FALSE(times.ReportOf({"e1"}, kFirstLife, At(0)).has_value());
  times.Note(Life(kFirstLife), seconds(1), At(500));
  CHECK(times.RateOf({"e1"}, kFirstLife) == 8.0);
  times.TakeWarm(At(1999));
  CHECK(times.RateOf({"e1"}, kFirstLife) == 8.0);
  times.TakeWarm(At(2000));
  CHECK(times.RateOf({"e1"}, kFirstLife) == 16.0);
}

TEST_CASE("that an endpoint is cold may be heard before what it bears") {
  ColdEndpoints times;
  CHECK_FALSE(times.Note(Life(kFirstLife), seconds(3), At(0)));
  CHECK_FALSE(times.RateOf({"e1"}, kFirstLife).has_value());
  times.SetPaces({{{"llm"}, 8}});
  CHECK(times.RateOf({"e1"}, kFirstLife) == 8.0);
}

// Guards against relays that take an entry for unchanged.
TEST_CASE("that an endpoint is cold is news each time it is said") {
  TableChangeLog ledger(FeedKind::kEndpoints);
  ListedEndpoint cold = Life(kFirstLife);
  cold.cold_for = seconds(3);
  ledger.Take(true, {{"e1", cold}}, 5);
  ledger.Take(false, {{"e1", cold}}, 6);
  CHECK(ledger.UpdateSince(5).rows.size() == 1);
  cold.cold_for = seconds(0);
  ledger.Take(false, {{"e1", cold}}, 7);
  ledger.Take(false, {{"e1", cold}}, 8);
  CHECK(ledger.UpdateSince(6).rows.size() == 1);
  CHECK(ledger.UpdateSince(7).rows.empty());
}

std::shared_ptr<const ForwardConfiguration> ColdConfiguration() {
  ForwardConfiguration configuration = *NodeBench::MakeConfiguration();
  for (ForwardedPool& pool : configuration.pools) {
    pool.cold_per_second = 4;
    pool.cold_start = seconds(3);
  }
  ForwardedPipeline urgent = configuration.pipelines.front();
  urgent.name.value = "urgent";
  urgent.path_prefix = "/u/";
  urgent.target_latency = milliseconds(300);
  configuration.pipelines.push_back(urgent);
  return std::make_shared<const ForwardConfiguration>(configuration);
}

// A host whose endpoint e2 says that it is cold, and a peer that grants.
class ColdBench : public NodeBench {
 public:
  ColdBench() : NodeBench(ColdConfiguration()) {
    AddPeer();
    now = At(10'000);
    Say("e2", seconds(5));
    actions.clear();
  }

  void Say(const std::string& name, std::optional<base::Duration> cold_for) {
    ListedEndpoint endpoint = MakeEndpoint(name, "llm");
    endpoint.cold_for = cold_for;
    Feed(TableChanged{FeedKind::kEndpoints, {{name, endpoint}}, ++version});
  }

  // Several requests, of which any may come to e2.
  void Ask(const std::string& path) {
    for (int i = 0; i < 10; ++i) {
      ForwardedRequest request = Request(++callers);
      request.piece_counts = {};
      request.path = path;
      Feed(std::move(request));
    }
  }

  size_t SentTo(const std::string& name) const {
    return static_cast<size_t>(
        std::ranges::count_if(actions, [&name](const Action& it) {
          const auto* sent = std::get_if<SendAttempt>(&it);
          return sent != nullptr && sent->endpoint.value == name;
        }));
  }

  uint64_t version = 10;
  uint64_t callers = 0;
};

TEST_CASE(
    "a cold endpoint gets requests that can bear it, with permits alone") {
  ColdBench bench;
  bench.Ask("/d/x");
  CHECK(bench.SentTo("e2") == 0);
  REQUIRE(bench.Last<RequestPermit>() != nullptr);
  const RequestPermit ask = *bench.Last<RequestPermit>();
  CHECK(ask.question.endpoint.value == "e2");
  REQUIRE(ask.question.cold.has_value());
  CHECK(ask.question.cold->left == seconds(5));
  // It isn't waited for as long as there are others.
  CHECK(ask.question.longest_wait == base::Duration(0));
  bench.Feed(PermitAnswered{ask.ask, {PermitGranted{}, std::nullopt}});
  CHECK(bench.SentTo("e2") == 1);
}

TEST_CASE("a request without time to spare passes a cold endpoint over") {
  ColdBench bench;
  bench.Ask("/u/x");
  CHECK(bench.Last<RequestPermit>() == nullptr);
  CHECK(bench.SentTo("e1") == 10);
}

TEST_CASE("when all endpoints are cold, requests wait for a permit") {
  ColdBench bench;
  bench.Say("e1", seconds(5));
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e1") + bench.SentTo("e2") == 0);
  REQUIRE(bench.Last<RequestPermit>() != nullptr);
  CHECK(bench.Last<RequestPermit>()->question.longest_wait > base::Duration(0));
}

TEST_CASE("a cold endpoint is sent what others are once it is warm") {
  ColdBench bench;
  bench.PassTo(At(15'000));
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e2") == 0);
  bench.PassTo(At(16'501));
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e2") > 0);
  CHECK(bench.Last<RequestPermit>() == nullptr);
}

// Guards against a new endpoint whose entry comes without the field.
TEST_CASE("an endpoint that starts and doesn't tell is taken for cold") {
  ColdBench bench;
  bench.Say("e3", std::nullopt);
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e1") == 10);
  bench.PassTo(At(14'501));
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e3") > 0);
}

// Guards against a keeper that hears of an endpoint last.
TEST_CASE("a keeper grants for a cold endpoint that it doesn't know yet") {
  NodeBench bench(ColdConfiguration());
  bench.now = At(10'000);
  const PermitRequest question{{"e9"}, kFirstLife,
                               {"z"},  milliseconds(0),
                               {},     ColdReport{4, seconds(3)}};
  const auto verdict_of = [&bench, &question](uint64_t exchange) {
    bench.Feed(PeerPermitRequested{PeerExchangeId{exchange}, question});
    return bench.Last<AnswerPermit>()->answer.verdict;
  };
  CHECK(std::holds_alternative<PermitGranted>(verdict_of(1)));
  CHECK(std::holds_alternative<PermitRefused>(verdict_of(2)));
}

// Guards against a burst on endpoints that have turned cold meanwhile.
TEST_CASE("a zone that is taken back while its endpoints are cold is warmed") {
  ColdBench bench;
  bench.Feed(TableChanged{
      FeedKind::kConfiguration, {{"evacuate/z", ZoneEvacuated{{"z"}}}}, 20});
  bench.Say("e1", seconds(5));
  bench.Say("e2", seconds(5));
  bench.actions.clear();
  bench.Ask("/d/x");
  CHECK(bench.SentTo("e1") + bench.SentTo("e2") == 0);
  CHECK(bench.Last<RequestPermit>() == nullptr);
  bench.Feed(TableChanged{
      FeedKind::kConfiguration, {{"evacuate/z", RowRemoved{}}}, 21});
  bench.Ask("/d/x");
  CHECK(bench.SentTo("e1") + bench.SentTo("e2") == 0);
  CHECK(bench.Last<RequestPermit>() != nullptr);
}

TEST_CASE("an answer may say that its endpoint is cold") {
  ColdBench bench;
  EndpointNotice notice;
  notice.cold_for = seconds(2);
  bench.Feed(EndpointNoticeReceived{{"e1"}, {}, notice, bench.now});
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e1") == 0);
}

TEST_CASE("a dispatcher spaces its calls to a cold endpoint out") {
  NodeBench bench(ColdConfiguration());
  bench.now = At(10'000);
  ListedEndpoint maker = NodeBench::MakeEndpoint("m1", "maker");
  maker.cold_for = seconds(5);
  bench.Feed(TableChanged{FeedKind::kEndpoints, {{"m1", maker}}, 11});
  const auto calls = [&bench] {
    return std::ranges::count_if(bench.actions, [](const Action& it) {
      return std::holds_alternative<CallStage>(it);
    });
  };
  for (uint64_t i = 1; i <= 20; ++i) {
    bench.Feed(NodeBench::Request(i));
    const std::vector<Action> done = std::exchange(bench.actions, {});
    for (const Action& it : done) {
      if (const auto* call = std::get_if<CallStage>(&it))
        bench.EndStage(call->call);
    }
    bench.actions.insert(bench.actions.begin(), done.begin(), done.end());
    bench.PassTo(bench.now + milliseconds(50));
  }
  CHECK(calls() >= 1);
  CHECK(calls() <= 5);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
