#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "LibForward/cold_endpoints.h"
#include "LibForward/node_bench.h"
#include "LibForward/table_change_log.h"

// Rate limits of cold endpoints, and their lifting in steps.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

constexpr base::Incarnation kFirstIncarnation{1};
constexpr base::Incarnation kSecondIncarnation{2};

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

ListedEndpoint EndpointOf(base::Incarnation incarnation) {
  ListedEndpoint endpoint = NodeBench::MakeEndpoint("e1", "llm");
  endpoint.incarnation = incarnation;
  return endpoint;
}

ColdEndpoints ColdEndpointsWithRate(double rate) {
  ColdEndpoints cold_endpoints;
  cold_endpoints.SetPoolRates({{{"llm"}, rate}});
  return cold_endpoints;
}

TEST_SUITE_BEGIN("policy");

TEST_CASE(
    "two hosts that grant permits stay within the bound of a cold endpoint") {
  for (const double bears : {1.0, 4.0, 11.0, 100.0}) {
    for (const ColdRateBound bound :
         {ColdRateBound{1.5, 5}, ColdRateBound{2, 3}, ColdRateBound{1.2, 8}}) {
      const double rate = ColdRatePerHost(bears, bound);
      CHECK(rate > 0);
      CHECK(rate <= bears);
      CHECK(2 * (rate + 1) <= bears * bound.over + bound.slack);
      // Stage calls and requests to free results of a dispatcher, plus calls of
      // hosts that stand in for the dispatcher.
      CHECK(1.75 * rate + 3 <= bears * bound.over + bound.slack);
    }
  }
  CHECK(ColdRatePerHost(11, {1, 0}) > 0);
}

TEST_CASE(
    "the rate of a cold endpoint is raised in steps after its cold time") {
  ColdEndpoints cold_endpoints = ColdEndpointsWithRate(8);
  CHECK(
      cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(3), At(1000)));
  CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == 8.0);
  CHECK(cold_endpoints.NextStep() == At(4000));
  const std::pair<int64_t, double> steps[] = {
      {3999, 8}, {4000, 16}, {4500, 32}, {5000, 64}};
  for (const auto& [ms, rate] : steps) {
    CHECK(cold_endpoints.TakeWarmedUp(At(ms)).empty());
    CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == rate);
  }
  CHECK(cold_endpoints.TakeWarmedUp(At(5500)).size() == 1);
  CHECK_FALSE(cold_endpoints.RateOf({"e1"}, kFirstIncarnation).has_value());
  CHECK_FALSE(cold_endpoints.NextStep().has_value());
}

TEST_CASE("an endpoint's newest statement replaces its earlier cold time") {
  ColdEndpoints cold_endpoints = ColdEndpointsWithRate(8);
  CHECK(cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(3), At(0)));
  CHECK_FALSE(
      cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(2), At(1000)));
  CHECK(cold_endpoints.ReportOf({"e1"}, kFirstIncarnation, At(1000))->left ==
        seconds(2));
  // The endpoint is cold for longer, and then warm sooner than stated.
  cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(9), At(2000));
  cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(0), At(3000));
  CHECK_FALSE(
      cold_endpoints.ReportOf({"e1"}, kFirstIncarnation, At(3000)).has_value());
  CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == 16.0);
  // Repeating the statement doesn't delay the steps.
  cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(0), At(4000));
  CHECK(cold_endpoints.TakeWarmedUp(At(4500)).size() == 1);
}

TEST_CASE("a cold time applies to one incarnation of an endpoint") {
  ColdEndpoints cold_endpoints = ColdEndpointsWithRate(8);
  cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(3), At(0));
  CHECK_FALSE(cold_endpoints.RateOf({"e1"}, kSecondIncarnation).has_value());
  cold_endpoints.Note(EndpointOf(kSecondIncarnation), seconds(3), At(1000));
  CHECK(cold_endpoints.RateOf({"e1"}, kSecondIncarnation) == 8.0);
  cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(0), At(1000));
  CHECK(cold_endpoints.RateOf({"e1"}, kSecondIncarnation) == 8.0);
}

// Guards against a report that circulates between hosts and thereby never
// expires.
TEST_CASE("a peer's report extends the cold time and isn't passed on") {
  ColdEndpoints cold_endpoints = ColdEndpointsWithRate(8);
  cold_endpoints.NoteByPeer({"e1"}, kFirstIncarnation, {5, seconds(2)}, At(0));
  // While the endpoint is unknown here, the rate comes from the peer's report.
  CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == 5.0);
  CHECK_FALSE(
      cold_endpoints.ReportOf({"e1"}, kFirstIncarnation, At(0)).has_value());
  cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(1), At(500));
  CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == 8.0);
  cold_endpoints.TakeWarmedUp(At(1999));
  CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == 8.0);
  cold_endpoints.TakeWarmedUp(At(2000));
  CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == 16.0);
}

TEST_CASE(
    "an endpoint may be known as cold before its pool's rate is configured") {
  ColdEndpoints cold_endpoints;
  CHECK_FALSE(
      cold_endpoints.Note(EndpointOf(kFirstIncarnation), seconds(3), At(0)));
  CHECK_FALSE(cold_endpoints.RateOf({"e1"}, kFirstIncarnation).has_value());
  cold_endpoints.SetPoolRates({{{"llm"}, 8}});
  CHECK(cold_endpoints.RateOf({"e1"}, kFirstIncarnation) == 8.0);
}

// Guards against relays that treat a repeated cold time as an unchanged entry
// and don't pass it on.
TEST_CASE("each statement of a cold time counts as a change of the row") {
  TableChangeLog change_log(FeedKind::kEndpoints);
  ListedEndpoint cold = EndpointOf(kFirstIncarnation);
  cold.cold_for = seconds(3);
  change_log.Apply(true, {{"e1", cold}}, 5);
  change_log.Apply(false, {{"e1", cold}}, 6);
  CHECK(change_log.UpdateSince(5).rows.size() == 1);
  cold.cold_for = seconds(0);
  change_log.Apply(false, {{"e1", cold}}, 7);
  change_log.Apply(false, {{"e1", cold}}, 8);
  CHECK(change_log.UpdateSince(6).rows.size() == 1);
  CHECK(change_log.UpdateSince(7).rows.empty());
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

// A host whose endpoint e2 states that it is cold, and a peer that owns its
// limit.
class ColdBench : public NodeBench {
 public:
  ColdBench() : NodeBench(ColdConfiguration()) {
    AddPeer();
    now = At(10'000);
    ListEndpoint("e2", seconds(5));
    actions.clear();
  }

  void ListEndpoint(const std::string& name,
                    std::optional<base::Duration> cold_for) {
    ListedEndpoint endpoint = MakeEndpoint(name, "llm");
    endpoint.cold_for = cold_for;
    Feed(TableChanged{FeedKind::kEndpoints, {{name, endpoint}}, ++version});
  }

  // Sends several requests, each of which may be routed to e2.
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
    "a cold endpoint gets only requests with time to spare, and only by "
    "permits") {
  ColdBench bench;
  bench.Ask("/d/x");
  CHECK(bench.SentTo("e2") == 0);
  REQUIRE(bench.Last<RequestPermit>() != nullptr);
  const RequestPermit permit_request = *bench.Last<RequestPermit>();
  CHECK(permit_request.request.endpoint.value == "e2");
  REQUIRE(permit_request.request.cold.has_value());
  CHECK(permit_request.request.cold->left == seconds(5));
  // Requests don't wait for a cold endpoint while others are available.
  CHECK(permit_request.request.longest_wait == base::Duration(0));
  bench.Feed(
      PermitAnswered{permit_request.id, {PermitGranted{}, std::nullopt}});
  CHECK(bench.SentTo("e2") == 1);
}

TEST_CASE("a request without time to spare avoids a cold endpoint") {
  ColdBench bench;
  bench.Ask("/u/x");
  CHECK(bench.Last<RequestPermit>() == nullptr);
  CHECK(bench.SentTo("e1") == 10);
}

TEST_CASE("when all endpoints are cold, requests wait for a permit") {
  ColdBench bench;
  bench.ListEndpoint("e1", seconds(5));
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e1") + bench.SentTo("e2") == 0);
  REQUIRE(bench.Last<RequestPermit>() != nullptr);
  CHECK(bench.Last<RequestPermit>()->request.longest_wait > base::Duration(0));
}

TEST_CASE("an endpoint gets requests without permits once it is warm") {
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

// Guards against a burst on a new endpoint whose entry lacks the cold time.
TEST_CASE("a new endpoint that states no cold time is treated as cold") {
  ColdBench bench;
  bench.ListEndpoint("e3", std::nullopt);
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e1") == 10);
  bench.PassTo(At(14'501));
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e3") > 0);
}

// Guards against a limit owner that learns of a cold endpoint later than the
// hosts that request its permits.
TEST_CASE(
    "a limit's owner grants permits for a cold endpoint that it doesn't know "
    "yet") {
  NodeBench bench(ColdConfiguration());
  bench.now = At(10'000);
  const PermitRequest request{{"e9"}, kFirstIncarnation,
                              {"z"},  milliseconds(0),
                              {},     ColdReport{4, seconds(3)}};
  const auto decision_of = [&bench, &request](uint64_t exchange) {
    bench.Feed(PeerPermitRequested{PeerExchangeId{exchange}, request});
    return bench.Last<AnswerPermit>()->answer.decision;
  };
  CHECK(std::holds_alternative<PermitGranted>(decision_of(1)));
  CHECK(std::holds_alternative<PermitRefused>(decision_of(2)));
}

// Guards against a burst on endpoints that have become cold during the
// evacuation.
TEST_CASE(
    "the cold endpoints of a zone need permits after its evacuation ends") {
  ColdBench bench;
  bench.Feed(TableChanged{
      FeedKind::kConfiguration, {{"evacuate/z", ZoneEvacuated{{"z"}}}}, 20});
  bench.ListEndpoint("e1", seconds(5));
  bench.ListEndpoint("e2", seconds(5));
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

TEST_CASE("an answer may state that its endpoint is cold") {
  ColdBench bench;
  EndpointNotice notice;
  notice.cold_for = seconds(2);
  bench.Feed(EndpointNoticeReceived{{"e1"}, {}, notice, bench.now});
  bench.actions.clear();
  bench.Ask("/u/x");
  CHECK(bench.SentTo("e1") == 0);
}

TEST_CASE("a dispatcher spaces out its calls to a cold endpoint") {
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
