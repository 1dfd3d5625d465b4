#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "LibForward/node_bench.h"
#include "LibForward/permit_issuer.h"

// Permits to send requests to endpoints that have named a limit.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

constexpr base::Incarnation kFirstLife{1};
constexpr base::Incarnation kSecondLife{2};

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

PermitIssuer::Wish Wish(double per_second, base::Duration longest_wait) {
  return {{"e1"}, kFirstLife, per_second, longest_wait, base::TimePoint()};
}

// In milliseconds from now; -1 if it was refused.
int64_t BeginsIn(PermitIssuer& book,
                 const PermitIssuer::Wish& wish,
                 base::TimePoint now) {
  const PermitDecision verdict = book.Ask(wish, now);
  const auto* granted = std::get_if<PermitGranted>(&verdict);
  if (granted == nullptr)
    return -1;
  return std::chrono::duration_cast<milliseconds>(granted->begins_in).count();
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("permits follow one another at the limit's pace") {
  PermitIssuer book;
  const PermitIssuer::Wish wish = Wish(4, milliseconds(600));
  CHECK(BeginsIn(book, wish, At(1000)) == 0);
  CHECK(BeginsIn(book, wish, At(1000)) == 250);
  CHECK(BeginsIn(book, wish, At(1000)) == 500);
  // The next one would begin later than this request may wait.
  const PermitDecision refused = book.Ask(wish, At(1000));
  REQUIRE(std::holds_alternative<PermitRefused>(refused));
  CHECK(std::get<PermitRefused>(refused).next_in == milliseconds(750));
  CHECK(BeginsIn(book, wish, At(1200)) == 550);
}

TEST_CASE("no permits are saved up while nobody asks") {
  PermitIssuer book;
  const PermitIssuer::Wish wish = Wish(2, milliseconds(0));
  CHECK(BeginsIn(book, wish, At(1000)) == 0);
  CHECK(BeginsIn(book, wish, At(60'000)) == 0);
  CHECK(BeginsIn(book, wish, At(60'001)) == -1);
  CHECK(BeginsIn(book, wish, At(60'500)) == 0);
}

TEST_CASE("a new keeper grants none before its time") {
  PermitIssuer book;
  PermitIssuer::Wish wish = Wish(2, milliseconds(400));
  wish.first_begins = At(2000);
  CHECK(BeginsIn(book, wish, At(1000)) == -1);
  CHECK(BeginsIn(book, wish, At(1700)) == 300);
  CHECK(book.Drop([](const auto&) { return true; }).size() == 1);
  CHECK_FALSE(book.Keeps({"e1"}));
}

TEST_CASE("a limit that changes holds from the next permit on") {
  PermitIssuer book;
  CHECK(BeginsIn(book, Wish(10, seconds(0)), At(1000)) == 0);
  CHECK(BeginsIn(book, Wish(1, seconds(1)), At(1100)) == 900);
  CHECK(BeginsIn(book, Wish(10, seconds(1)), At(1100)) == 1000);
  // Even one of nothing at all lets a request through now and then.
  CHECK(BeginsIn(book, Wish(0, seconds(0)), At(5000)) == -1);
  CHECK(BeginsIn(book, Wish(0, seconds(0)), At(12'100)) == 0);
  // Another life of the endpoint knows nothing of before.
  PermitIssuer::Wish wish = Wish(1, seconds(0));
  wish.incarnation = kSecondLife;
  CHECK(BeginsIn(book, wish, At(12'101)) == 0);
}

ForwardedRequest PlainRequest(uint64_t caller) {
  ForwardedRequest request = NodeBench::Request(caller);
  request.piece_counts = {};
  return request;
}

// A host whose two endpoints for requests have limits, and a peer that keeps
// them.
class LimitBench : public NodeBench {
 public:
  explicit LimitBench(double per_second = 1) {
    AddPeer();
    for (const char* name : {"e1", "e2"})
      Hear(name, {per_second});
    actions.clear();
  }

  void Hear(const std::string& endpoint, const RequestLimit& limit) {
    EndpointNotice notice;
    notice.limit = limit;
    Feed(EndpointNoticeReceived{{endpoint}, {}, notice, now});
  }

  void Answer(const PermitDecision& verdict) {
    const RequestPermit ask = *Last<RequestPermit>();
    actions.clear();
    Feed(PermitAnswered{ask.ask, {verdict, std::nullopt}});
  }

  bool HasSent() const { return Last<SendAttempt>() != nullptr; }
};

TEST_CASE("a request to an endpoint with a limit is sent with a permit alone") {
  LimitBench bench;
  bench.Feed(PlainRequest(1));
  REQUIRE(bench.Last<RequestPermit>() != nullptr);
  CHECK_FALSE(bench.HasSent());
  SUBCASE("at once") {
    bench.Answer(PermitGranted{});
    CHECK(bench.HasSent());
  }
  SUBCASE("when it begins") {
    bench.Answer(PermitGranted{milliseconds(200)});
    CHECK_FALSE(bench.HasSent());
    bench.PassTo(At(200));
    CHECK_FALSE(bench.HasSent());
    bench.PassTo(At(201));
    CHECK(bench.HasSent());
  }
  SUBCASE("which comes too late to be used") {
    bench.now += kPermitLifetime + milliseconds(1);
    bench.Answer(PermitGranted{});
    CHECK_FALSE(bench.HasSent());
    CHECK(bench.Last<RequestPermit>() != nullptr);
  }
  SUBCASE("which nobody grants") {
    const base::EndpointName first =
        bench.Last<RequestPermit>()->question.endpoint;
    bench.Answer(PermitRefused{milliseconds(1500)});
    CHECK_FALSE(bench.HasSent());
    // The other endpoint may have one.
    REQUIRE(bench.Last<RequestPermit>() != nullptr);
    CHECK(bench.Last<RequestPermit>()->question.endpoint != first);
  }
  SUBCASE("whose keeper is out of reach") {
    const RequestPermit ask = *bench.Last<RequestPermit>();
    bench.Feed(PermitRequestFailed{ask.ask, "no answer"});
    CHECK_FALSE(bench.HasSent());
  }
}

TEST_CASE("a permit is not used for an endpoint that leaves meanwhile") {
  LimitBench bench;
  bench.Feed(PlainRequest(1));
  const base::EndpointName endpoint =
      bench.Last<RequestPermit>()->question.endpoint;
  bench.Answer(PermitGranted{milliseconds(100)});
  EndpointNotice notice;
  notice.is_leaving = true;
  bench.Feed(EndpointNoticeReceived{endpoint, {}, notice, bench.now});
  bench.PassTo(At(150));
  CHECK_FALSE(bench.HasSent());
  REQUIRE(bench.Last<RequestPermit>() != nullptr);
  CHECK(bench.Last<RequestPermit>()->question.endpoint != endpoint);
}

TEST_CASE("requests go to an endpoint without a limit first") {
  LimitBench bench;
  bench.now += milliseconds(10);
  bench.Hear("e2", {});
  bench.actions.clear();
  bench.Feed(PlainRequest(1));
  REQUIRE(bench.HasSent());
  CHECK(bench.Last<SendAttempt>()->endpoint.value == "e2");
  CHECK(bench.Last<RequestPermit>() == nullptr);
}

TEST_CASE("nobody asks for a permit where no limit is named") {
  NodeBench bench;
  bench.AddPeer();
  bench.Feed(PlainRequest(1));
  CHECK(bench.Last<SendAttempt>() != nullptr);
  CHECK(bench.Last<RequestPermit>() == nullptr);
}

TEST_CASE(
    "when no permit begins in their time, callers are told at once when to "
    "return") {
  LimitBench bench(0.1);
  bench.Feed(PlainRequest(1));
  bench.Answer(PermitRefused{seconds(8)});
  bench.Answer(PermitRefused{seconds(9)});
  bench.actions.clear();
  bench.Feed(PlainRequest(2));
  const auto* answer = bench.Last<AnswerCaller>();
  REQUIRE(answer != nullptr);
  CHECK(answer->code == LocalAnswerCode::kNoEndpoint);
  // The longest wait of the most urgent is a second.
  CHECK(*answer->retry_after >= seconds(7));
  CHECK(bench.Last<RequestPermit>() == nullptr);
}

TEST_CASE("a host grants permits only as the keeper, and no two at a time") {
  NodeBench bench;
  // The host is alone, and so keeps all limits.
  bench.now = At(10'000);
  const PermitRequest question{
      {"e1"}, kFirstLife, {"z"}, milliseconds(0), {{2.0}, milliseconds(5)}};
  const auto verdict_of = [&bench](uint64_t exchange, PermitRequest it) {
    bench.Feed(PeerPermitRequested{PeerExchangeId{exchange}, std::move(it)});
    return bench.Last<AnswerPermit>()->answer.verdict;
  };
  CHECK(std::holds_alternative<PermitGranted>(verdict_of(1, question)));
  CHECK(std::holds_alternative<PermitRefused>(verdict_of(2, question)));
  // With a larger host there, that one keeps them.
  bench.AddPeer();
  CHECK(std::holds_alternative<NotLimitOwner>(verdict_of(3, question)));
}

TEST_CASE("what a host hears of a limit goes to its keeper, and to all") {
  LimitBench bench;
  bench.now += milliseconds(10);
  bench.Hear("e1", {3.0});
  REQUIRE(bench.Last<SendLimitsToPeer>() != nullptr);
  CHECK(base::ToText(bench.Last<SendLimitsToPeer>()->address) == "10.0.0.2:1");
  bench.actions.clear();
  // What a peer tells is taken on, and an older word of it is not.
  const auto tell = [&bench](const RequestLimit& limit, milliseconds age) {
    bench.Feed(PeerLimitsReceived{{{{"e1"}, {}, {limit, age}}}});
  };
  bench.now += milliseconds(100);
  tell({}, milliseconds(200));
  bench.Feed(PlainRequest(1));
  CHECK_FALSE(bench.HasSent());
  tell({}, milliseconds(20));
  bench.Feed(PlainRequest(2));
  CHECK(bench.HasSent());
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
