#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "LibForward/node_bench.h"

// What endpoints say of themselves in their answers.
namespace bilberry::forward {
namespace {

constexpr base::Incarnation kFirstLife{1};
constexpr base::Incarnation kSecondLife{2};

ForwardedRequest PlainRequest(uint64_t caller) {
  ForwardedRequest request = NodeBench::Request(caller);
  request.piece_counts = {};
  return request;
}

EndpointNotice Leaving() {
  return {true, std::nullopt, std::nullopt};
}

EndpointNotice QuietFor(base::Duration time) {
  return {false, time, std::nullopt};
}

FeedRow Row(const std::string& name,
            const std::string& pool,
            base::Incarnation incarnation = kFirstLife) {
  ListedEndpoint endpoint = NodeBench::MakeEndpoint(name, pool);
  endpoint.incarnation = incarnation;
  return {name, endpoint};
}

// A host with two endpoints for requests and two for pieces.
class NoticeBench : public NodeBench {
 public:
  NoticeBench() {
    Feed(TableListed{FeedKind::kEndpoints,
                     {Row("e1", "llm"), Row("e2", "llm"), Row("m1", "maker"),
                      Row("m2", "maker")},
                     false,
                     2});
    actions.clear();
  }

  void Notice(const std::string& endpoint, const EndpointNotice& notice) {
    Feed(EndpointNoticeReceived{{endpoint}, kFirstLife, notice, now});
  }

  void Pass(base::Duration time) { PassTo(now + time); }

  // The endpoints that requests, calls and orders have gone to.
  std::set<std::string> Asked() const {
    std::set<std::string> names;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action))
        names.insert(send->endpoint.value);
      else if (const auto* call = std::get_if<CallStage>(&action))
        names.insert(call->call.endpoint.value);
      else if (const auto* free = std::get_if<FreeResults>(&action))
        names.insert(free->order.endpoint.value);
    }
    return names;
  }

  template <typename T>
  size_t CountOf() const {
    return static_cast<size_t>(std::ranges::count_if(
        actions,
        [](const Action& it) { return std::holds_alternative<T>(it); }));
  }

  // Asks for as many requests as would surely reach each endpoint.
  std::set<std::string> AskedByManyRequests() {
    actions.clear();
    for (int i = 0; i < 20; ++i)
      Feed(PlainRequest(++callers));
    return Asked();
  }

  uint64_t callers = 100;
};

const std::set<std::string> kBoth{"e1", "e2"};

TEST_CASE("an endpoint that says in an answer that it leaves gets no request") {
  NoticeBench bench;
  CHECK(bench.AskedByManyRequests() == kBoth);
  bench.Notice("e1", Leaving());
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
}

TEST_CASE("no entry takes back that this life of an endpoint leaves") {
  NoticeBench bench;
  bench.Notice("e1", Leaving());
  SUBCASE("the store fails") {
    bench.Feed(TableCallFailed{FeedKind::kEndpoints, "no answer"});
    bench.Pass(milliseconds(5000));
  }
  SUBCASE("its entry is written again as serving") {
    bench.Feed(TableChanged{FeedKind::kEndpoints, {Row("e1", "llm")}, 3});
  }
  SUBCASE("its entry is gone for a while") {
    bench.Feed(TableChanged{FeedKind::kEndpoints, {{"e1", RowRemoved{}}}, 3});
    bench.Pass(milliseconds(5000));
    bench.Feed(TableChanged{FeedKind::kEndpoints, {Row("e1", "llm")}, 4});
  }
  SUBCASE("a peer tells of its entry") {
    StoreSyncResponse news;
    news.tables.push_back({FeedKind::kEndpoints, 5, false, {Row("e1", "llm")}});
    bench.Feed(StoreSyncReceived{news});
  }
  SUBCASE("its entry doesn't tell whose it is") {
    bench.Feed(TableChanged{
        FeedKind::kEndpoints, {Row("e1", "llm", base::Incarnation{})}, 3});
  }
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
}

EndpointDeparture DepartureOf(const std::string& endpoint,
                              base::Duration age,
                              base::Incarnation incarnation = kFirstLife) {
  return {{endpoint}, incarnation, age};
}

TEST_CASE("a peer's word that an endpoint leaves is believed") {
  NoticeBench bench;
  SUBCASE("in its news") {
    StoreSyncResponse news;
    // Of what the store told, the peer knows nothing new.
    news.age = milliseconds(60'000);
    news.notices.departures = {DepartureOf("e1", milliseconds(900))};
    bench.Feed(StoreSyncReceived{news});
  }
  SUBCASE("in its question") {
    bench.Feed(PeerStoreSyncRequested{
        PeerExchangeId{1}, {{}, {DepartureOf("e1", milliseconds(900))}}});
  }
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
  bench.Feed(
      TableChanged{FeedKind::kEndpoints, {Row("e1", "llm", kSecondLife)}, 3});
  // The other one is busy with those before.
  CHECK(bench.AskedByManyRequests().contains("e1"));
}

TEST_CASE("a peer's word counts if it is recent and tells whose life it is") {
  NoticeBench bench;
  for (const EndpointDeparture& it :
       {DepartureOf("e1", milliseconds(5000)),
        DepartureOf("e1", milliseconds(-1)),
        DepartureOf("e1", milliseconds(0), base::Incarnation{}),
        DepartureOf("e1", milliseconds(0), base::Incarnation{7})}) {
    StoreSyncResponse news;
    news.notices.departures = {it};
    bench.Feed(StoreSyncReceived{news});
  }
  CHECK(bench.AskedByManyRequests() == kBoth);
}

TEST_CASE("what is said of an earlier life takes nothing back") {
  NoticeBench bench;
  bench.Feed(
      TableChanged{FeedKind::kEndpoints, {Row("e1", "llm", kSecondLife)}, 3});
  bench.Feed(EndpointNoticeReceived{{"e1"}, kSecondLife, Leaving(), bench.now});
  SUBCASE("by a peer") {
    StoreSyncResponse news;
    news.notices.departures = {DepartureOf("e1", milliseconds(100))};
    bench.Feed(StoreSyncReceived{news});
  }
  SUBCASE("by a late answer") {
    bench.Notice("e1", Leaving());
  }
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
}

TEST_CASE("peers are told for a while what endpoints said") {
  NoticeBench bench;
  bench.Notice("e1", Leaving());
  bench.Feed(EndpointNoticeReceived{
      {"e2"}, base::Incarnation{}, Leaving(), bench.now});
  bench.Pass(milliseconds(700));
  bench.Feed(PeerStoreSyncRequested{PeerExchangeId{1}, {}});
  const auto told = bench.Last<AnswerStoreSync>()->news.notices.departures;
  // Of e2 it isn't known which life said so.
  REQUIRE(told.size() == 1);
  CHECK(told[0].endpoint.value == "e1");
  CHECK(told[0].incarnation == kFirstLife);
  CHECK(told[0].age == milliseconds(700));
  bench.Pass(milliseconds(4300));
  bench.Feed(PeerStoreSyncRequested{PeerExchangeId{2}, {}});
  CHECK(bench.Last<AnswerStoreSync>()->news.notices.departures.empty());
}

// What goes from peer to peer grows no younger on the way.
TEST_CASE("a peer's word is passed on with its age") {
  NoticeBench bench;
  StoreSyncResponse news;
  news.notices.departures = {DepartureOf("e1", milliseconds(900))};
  bench.Feed(StoreSyncReceived{news});
  bench.Pass(milliseconds(600));
  bench.Feed(PeerStoreSyncRequested{PeerExchangeId{1}, {}});
  const auto told = bench.Last<AnswerStoreSync>()->news.notices.departures;
  REQUIRE(told.size() == 1);
  CHECK(told[0].age == milliseconds(1500));
}

// Guards against hosts that each find out by themselves.
TEST_CASE("what a host is the first to hear of an endpoint, it tells once") {
  NoticeBench bench;
  bench.AddPeer();
  bench.Notice("e1", Leaving());
  REQUIRE(bench.Last<SendNoticesToPeer>() != nullptr);
  CHECK(base::ToText(bench.Last<SendNoticesToPeer>()->address) == "10.0.0.2:1");
  const auto departures = bench.Last<SendNoticesToPeer>()->notices.departures;
  REQUIRE(departures.size() == 1);
  CHECK(departures[0].endpoint.value == "e1");
  CHECK(departures[0].incarnation == kFirstLife);
  // What is heard soon after is told together, with its age.
  bench.actions.clear();
  bench.Notice("e1", Leaving());
  bench.Pass(milliseconds(40));
  bench.Notice("e2", QuietFor(milliseconds(2000)));
  bench.Pass(milliseconds(10));
  bench.Notice("m1", QuietFor(milliseconds(1000)));
  bench.Notice("m1", QuietFor(milliseconds(1100)));
  bench.Feed(EndpointNoticeReceived{
      {"m2"}, base::Incarnation{}, Leaving(), bench.now});
  CHECK(bench.CountOf<SendNoticesToPeer>() == 0);
  bench.Pass(milliseconds(50));
  CHECK(bench.CountOf<SendNoticesToPeer>() == 1);
  const NoticeBatch notices = bench.Last<SendNoticesToPeer>()->notices;
  CHECK(notices.departures.empty());
  REQUIRE(notices.backoffs.size() == 2);
  CHECK(notices.backoffs[0].endpoint.value == "e2");
  CHECK(notices.backoffs[0].lasts == milliseconds(2000));
  CHECK(notices.backoffs[0].age == milliseconds(60));
}

TEST_CASE("a peer's word of an endpoint isn't told as one's own") {
  NoticeBench bench;
  bench.AddPeer();
  bench.Feed(PeerNoticesReceived{
      {{DepartureOf("e1", milliseconds(10))},
       {{{"e2"}, kFirstLife, milliseconds(2000), milliseconds(10)}}}});
  bench.Notice("e1", Leaving());
  bench.Notice("e2", QuietFor(milliseconds(2000)));
  CHECK(bench.CountOf<SendNoticesToPeer>() == 0);
  CHECK_FALSE(bench.AskedByManyRequests().contains("e1"));
  // Those who ask for news hear it.
  bench.Feed(PeerStoreSyncRequested{PeerExchangeId{1}, {}});
  const NoticeBatch told = bench.Last<AnswerStoreSync>()->news.notices;
  REQUIRE(told.departures.size() == 1);
  CHECK(told.departures[0].age == milliseconds(10));
  CHECK_FALSE(told.backoffs.empty());
}

TEST_CASE("an endpoint that peers are to leave alone is passed over so long") {
  NoticeBench bench;
  const BackoffReport word{
      {"e1"}, kFirstLife, milliseconds(2000), milliseconds(500)};
  SUBCASE("told at once") {
    bench.Feed(PeerNoticesReceived{{{}, {word}}});
  }
  SUBCASE("in news") {
    StoreSyncResponse news;
    news.notices.backoffs = {word};
    bench.Feed(StoreSyncReceived{news});
  }
  SUBCASE("told again with an earlier end") {
    bench.Feed(PeerNoticesReceived{{{}, {word}}});
    bench.Feed(PeerNoticesReceived{
        {{}, {{{"e1"}, kFirstLife, milliseconds(400), milliseconds(10)}}}});
  }
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
  bench.Pass(milliseconds(1490));
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
  bench.Pass(milliseconds(10));
  CHECK(bench.AskedByManyRequests().contains("e1"));
}

TEST_CASE("a peer's word of a quiet time counts only if it is sound") {
  NoticeBench bench;
  for (const BackoffReport& it :
       {BackoffReport{{"e1"}, kFirstLife, milliseconds(500), milliseconds(500)},
        BackoffReport{{"e1"}, kFirstLife, milliseconds(500), milliseconds(-1)},
        BackoffReport{{"e1"}, {}, milliseconds(500), milliseconds(0)},
        BackoffReport{{"e1"}, kSecondLife, milliseconds(500), milliseconds(0)},
        BackoffReport{
            {"e1"}, kFirstLife, std::chrono::hours(2), milliseconds(0)}})
    bench.Feed(PeerNoticesReceived{{{}, {it}}});
  CHECK(bench.AskedByManyRequests() == kBoth);
}

// It was asked of the peer: with no other endpoint there, this one is tried.
TEST_CASE("no request is refused for what endpoints asked of peers alone") {
  NoticeBench bench;
  for (const char* name : {"e1", "e2"})
    bench.Feed(PeerNoticesReceived{
        {{}, {{{name}, kFirstLife, milliseconds(2000), milliseconds(0)}}}});
  CHECK(bench.AskedByManyRequests() == kBoth);
}

TEST_CASE("another life of an endpoint that left is used") {
  NoticeBench bench;
  bench.Notice("e1", Leaving());
  bench.Feed(
      TableChanged{FeedKind::kEndpoints, {Row("e1", "llm", kSecondLife)}, 3});
  CHECK(bench.AskedByManyRequests() == kBoth);
}

TEST_CASE("where entries don't tell their life, a new entry is a new one") {
  NoticeBench bench;
  const FeedRow row = Row("e1", "llm", base::Incarnation{});
  bench.Feed(TableChanged{FeedKind::kEndpoints, {row}, 3});
  bench.Feed(EndpointNoticeReceived{{"e1"}, {}, Leaving(), bench.now});
  bench.Feed(TableChanged{FeedKind::kEndpoints, {row}, 4});
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
  bench.Feed(TableChanged{FeedKind::kEndpoints, {{"e1", RowRemoved{}}}, 5});
  bench.Feed(TableChanged{FeedKind::kEndpoints, {row}, 6});
  CHECK(bench.AskedByManyRequests().contains("e1"));
}

TEST_CASE("pieces that wait for an endpoint which then leaves go elsewhere") {
  NoticeBench bench;
  for (uint64_t caller = 1; caller <= 20; ++caller)
    bench.Feed(NodeBench::Request(caller));
  REQUIRE(bench.Asked() == std::set<std::string>{"m1", "m2"});
  StageCall call = bench.Last<CallStage>()->call;
  const std::string leaving = call.endpoint.value;
  bench.actions.clear();
  bench.Notice(leaving, Leaving());
  bench.EndStage(call);
  bench.Pass(milliseconds(300));
  for (const Action& action : bench.actions) {
    if (const auto* it = std::get_if<CallStage>(&action))
      CHECK(it->call.endpoint.value != leaving);
  }
}

TEST_CASE("a request whose endpoint refuses it and leaves goes to another") {
  NoticeBench bench;
  // Requests earn the pool its retries.
  bench.AskedByManyRequests();
  bench.Feed(PlainRequest(1));
  const SendAttempt first = *bench.Last<SendAttempt>();
  bench.Notice(first.endpoint.value, Leaving());
  AnswerHead head;
  head.status = 503;
  head.reported_not_run = true;
  bench.Feed(AttemptAnswer{first.attempt, head, ""});
  CHECK(bench.Last<SendAttempt>()->endpoint != first.endpoint);
}

TEST_CASE(
    "an endpoint that wants to be left alone is, until its time is over") {
  NoticeBench bench;
  const base::TimePoint end = bench.now + milliseconds(3000);
  bench.Notice("e1", QuietFor(milliseconds(3000)));
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
  bench.Feed(TableCallFailed{FeedKind::kEndpoints, "no answer"});
  // A shorter time that it asks for later changes nothing.
  bench.Notice("e1", QuietFor(milliseconds(100)));
  bench.PassTo(end - milliseconds(1));
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
  // It is as good as before, and has less to do.
  bench.PassTo(end);
  bench.actions.clear();
  bench.Feed(PlainRequest(1));
  CHECK(bench.Last<SendAttempt>()->endpoint.value == "e1");
}

TEST_CASE("a quiet time outlasts the endpoint's entry") {
  NoticeBench bench;
  bench.Notice("e1", QuietFor(milliseconds(3000)));
  bench.Feed(TableChanged{FeedKind::kEndpoints, {{"e1", RowRemoved{}}}, 3});
  bench.Feed(TableChanged{FeedKind::kEndpoints, {Row("e1", "llm")}, 4});
  CHECK(bench.AskedByManyRequests() == std::set<std::string>{"e2"});
}

TEST_CASE("an endpoint that is left alone gets no call for pieces or order") {
  NoticeBench bench;
  bench.Feed(NodeBench::Request(1));
  StageCall call = bench.Last<CallStage>()->call;
  const std::string quiet = call.endpoint.value;
  bench.EndStage(call);
  bench.Notice(quiet, QuietFor(milliseconds(3000)));
  bench.actions.clear();
  // Its results are of no more use.
  bench.Feed(CallerDisconnected{base::CallerId{1}});
  for (uint64_t caller = 2; caller <= 20; ++caller)
    bench.Feed(NodeBench::Request(caller));
  bench.Pass(milliseconds(2900));
  CHECK_FALSE(bench.Asked().contains(quiet));
  bench.Pass(milliseconds(200));
  CHECK(bench.Asked().contains(quiet));
}

TEST_CASE(
    "when all endpoints want to be left alone, callers are told at once when "
    "to return") {
  NoticeBench bench;
  SUBCASE("those that run requests") {
    bench.Notice("e1", QuietFor(milliseconds(3000)));
    bench.Notice("e2", QuietFor(milliseconds(2000)));
  }
  SUBCASE("those that make pieces") {
    bench.Notice("m1", QuietFor(milliseconds(3000)));
    bench.Notice("m2", QuietFor(milliseconds(2000)));
  }
  std::set<base::Duration> times;
  for (uint64_t caller = 1; caller <= 10; ++caller) {
    bench.actions.clear();
    bench.Feed(NodeBench::Request(caller));
    const auto* answer = bench.Last<AnswerCaller>();
    REQUIRE(answer != nullptr);
    REQUIRE(answer->retry_after.has_value());
    CHECK(*answer->retry_after >= milliseconds(2000));
    CHECK(*answer->retry_after <= milliseconds(3000));
    times.insert(*answer->retry_after);
  }
  // They don't all come back at one moment.
  CHECK(times.size() > 5);
}

TEST_CASE("a request that has begun waits for the endpoint that opens first") {
  NoticeBench bench;
  bench.Feed(NodeBench::Request(1));
  bench.Notice("e1", QuietFor(milliseconds(2000)));
  bench.Notice("e2", QuietFor(milliseconds(1000)));
  bench.EndStage(bench.Last<CallStage>()->call);
  CHECK(bench.Last<AnswerCaller>() == nullptr);
  bench.PassTo(base::TimePoint(milliseconds(1000)));
  CHECK(bench.Last<SendAttempt>() == nullptr);
  bench.PassTo(base::TimePoint(milliseconds(1001)));
  REQUIRE(bench.Last<SendAttempt>() != nullptr);
  CHECK(bench.Last<SendAttempt>()->endpoint.value == "e2");
}

TEST_CASE("nobody waits for an endpoint longer than there is time") {
  NoticeBench bench;
  bench.Feed(NodeBench::Request(1));
  bench.Notice("e1", QuietFor(milliseconds(20'000)));
  bench.Notice("e2", QuietFor(milliseconds(10'000)));
  bench.EndStage(bench.Last<CallStage>()->call);
  REQUIRE(bench.Last<AnswerCaller>() != nullptr);
  CHECK(bench.Last<AnswerCaller>()->code == LocalAnswerCode::kNoEndpoint);
  CHECK(*bench.Last<AnswerCaller>()->retry_after >= milliseconds(10'000));
}

TEST_CASE("the end of a quiet time brings no burst") {
  NoticeBench bench;
  for (uint64_t caller = 1; caller <= 8; ++caller)
    bench.Feed(NodeBench::Request(caller));
  bench.Notice("e1", QuietFor(milliseconds(10'000)));
  bench.Notice("e2", QuietFor(milliseconds(1000)));
  for (int i = 0; i < 10; ++i) {
    const std::vector<Action> done = bench.actions;
    bench.actions.clear();
    for (const Action& action : done) {
      if (const auto* it = std::get_if<CallStage>(&action))
        bench.EndStage(it->call);
    }
  }
  bench.actions.clear();
  bench.PassTo(base::TimePoint(milliseconds(1001)));
  CHECK(bench.CountOf<SendAttempt>() == 1);
  bench.Pass(milliseconds(50));
  CHECK(bench.CountOf<SendAttempt>() <= 4);
  bench.Pass(milliseconds(450));
  CHECK(bench.CountOf<SendAttempt>() == 8);
}

}  // namespace
}  // namespace bilberry::forward
