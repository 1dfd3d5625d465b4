#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "LibForward/node_bench.h"
#include "LibForward/permit_issuer.h"

// Permits for requests to endpoints that have announced a rate limit.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

constexpr base::Incarnation kFirstIncarnation{1};
constexpr base::Incarnation kSecondIncarnation{2};

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

PermitIssuer::GrantRequest GrantRequest(double per_second,
                                        base::Duration longest_wait) {
  return {
      {"e1"}, kFirstIncarnation, per_second, longest_wait, base::TimePoint()};
}

// Returns when the permit begins, in milliseconds from now; -1 if it was
// refused.
int64_t BeginsIn(PermitIssuer& issuer,
                 const PermitIssuer::GrantRequest& request,
                 base::TimePoint now) {
  const PermitDecision decision = issuer.Grant(request, now);
  const auto* granted = std::get_if<PermitGranted>(&decision);
  if (granted == nullptr)
    return -1;
  return std::chrono::duration_cast<milliseconds>(granted->begins_in).count();
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("permits are granted at the rate of the limit") {
  PermitIssuer issuer;
  const PermitIssuer::GrantRequest request = GrantRequest(4, milliseconds(600));
  CHECK(BeginsIn(issuer, request, At(1000)) == 0);
  CHECK(BeginsIn(issuer, request, At(1000)) == 250);
  CHECK(BeginsIn(issuer, request, At(1000)) == 500);
  // The next permit would begin later than this request may wait.
  const PermitDecision refused = issuer.Grant(request, At(1000));
  REQUIRE(std::holds_alternative<PermitRefused>(refused));
  CHECK(std::get<PermitRefused>(refused).next_in == milliseconds(750));
  CHECK(BeginsIn(issuer, request, At(1200)) == 550);
}

TEST_CASE("unused permits don't accumulate") {
  PermitIssuer issuer;
  const PermitIssuer::GrantRequest request = GrantRequest(2, milliseconds(0));
  CHECK(BeginsIn(issuer, request, At(1000)) == 0);
  CHECK(BeginsIn(issuer, request, At(60'000)) == 0);
  CHECK(BeginsIn(issuer, request, At(60'001)) == -1);
  CHECK(BeginsIn(issuer, request, At(60'500)) == 0);
}

TEST_CASE(
    "a new limit owner grants no permit before those of the previous owner are "
    "over") {
  PermitIssuer issuer;
  PermitIssuer::GrantRequest request = GrantRequest(2, milliseconds(400));
  request.first_begins = At(2000);
  CHECK(BeginsIn(issuer, request, At(1000)) == -1);
  CHECK(BeginsIn(issuer, request, At(1700)) == 300);
  CHECK(issuer.Drop([](const auto&) { return true; }).size() == 1);
  CHECK_FALSE(issuer.Owns({"e1"}));
}

TEST_CASE("a changed limit applies from the next permit on") {
  PermitIssuer issuer;
  CHECK(BeginsIn(issuer, GrantRequest(10, seconds(0)), At(1000)) == 0);
  CHECK(BeginsIn(issuer, GrantRequest(1, seconds(1)), At(1100)) == 900);
  CHECK(BeginsIn(issuer, GrantRequest(10, seconds(1)), At(1100)) == 1000);
  // Even a limit of zero occasionally lets a request through.
  CHECK(BeginsIn(issuer, GrantRequest(0, seconds(0)), At(5000)) == -1);
  CHECK(BeginsIn(issuer, GrantRequest(0, seconds(0)), At(12'100)) == 0);
  // Another incarnation of the endpoint starts without earlier permits.
  PermitIssuer::GrantRequest request = GrantRequest(1, seconds(0));
  request.incarnation = kSecondIncarnation;
  CHECK(BeginsIn(issuer, request, At(12'101)) == 0);
}

ForwardedRequest PlainRequest(uint64_t caller) {
  ForwardedRequest request = NodeBench::Request(caller);
  request.piece_counts = {};
  return request;
}

// A host whose two endpoints for requests have limits, and a peer that owns
// these limits.
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

  void Answer(const PermitDecision& decision) {
    const RequestPermit permit_request = *Last<RequestPermit>();
    actions.clear();
    Feed(PermitAnswered{permit_request.id, {decision, std::nullopt}});
  }

  bool HasSent() const { return Last<SendAttempt>() != nullptr; }
};

TEST_CASE("a request to an endpoint with a limit is sent only with a permit") {
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
  SUBCASE("but not with a permit that is expired on receipt") {
    bench.now += kPermitLifetime + milliseconds(1);
    bench.Answer(PermitGranted{});
    CHECK_FALSE(bench.HasSent());
    CHECK(bench.Last<RequestPermit>() != nullptr);
  }
  SUBCASE("but not if the permit is refused") {
    const base::EndpointName first =
        bench.Last<RequestPermit>()->request.endpoint;
    bench.Answer(PermitRefused{milliseconds(1500)});
    CHECK_FALSE(bench.HasSent());
    // The other endpoint may have a permit.
    REQUIRE(bench.Last<RequestPermit>() != nullptr);
    CHECK(bench.Last<RequestPermit>()->request.endpoint != first);
  }
  SUBCASE("but not if the limit's owner is unreachable") {
    const RequestPermit permit_request = *bench.Last<RequestPermit>();
    bench.Feed(PermitRequestFailed{permit_request.id, "no answer"});
    CHECK_FALSE(bench.HasSent());
  }
}

TEST_CASE(
    "a permit is not used if its endpoint has announced its shutdown since") {
  LimitBench bench;
  bench.Feed(PlainRequest(1));
  const base::EndpointName endpoint =
      bench.Last<RequestPermit>()->request.endpoint;
  bench.Answer(PermitGranted{milliseconds(100)});
  EndpointNotice notice;
  notice.is_leaving = true;
  bench.Feed(EndpointNoticeReceived{endpoint, {}, notice, bench.now});
  bench.PassTo(At(150));
  CHECK_FALSE(bench.HasSent());
  REQUIRE(bench.Last<RequestPermit>() != nullptr);
  CHECK(bench.Last<RequestPermit>()->request.endpoint != endpoint);
}

TEST_CASE("endpoints without a limit are preferred") {
  LimitBench bench;
  bench.now += milliseconds(10);
  bench.Hear("e2", {});
  bench.actions.clear();
  bench.Feed(PlainRequest(1));
  REQUIRE(bench.HasSent());
  CHECK(bench.Last<SendAttempt>()->endpoint.value == "e2");
  CHECK(bench.Last<RequestPermit>() == nullptr);
}

TEST_CASE("no permit is requested for endpoints without a limit") {
  NodeBench bench;
  bench.AddPeer();
  bench.Feed(PlainRequest(1));
  CHECK(bench.Last<SendAttempt>() != nullptr);
  CHECK(bench.Last<RequestPermit>() == nullptr);
}

TEST_CASE("if no permit begins in time, callers get a Retry-After at once") {
  LimitBench bench(0.1);
  bench.Feed(PlainRequest(1));
  bench.Answer(PermitRefused{seconds(8)});
  bench.Answer(PermitRefused{seconds(9)});
  bench.actions.clear();
  bench.Feed(PlainRequest(2));
  const auto* answer = bench.Last<AnswerCaller>();
  REQUIRE(answer != nullptr);
  CHECK(answer->code == LocalAnswerCode::kNoEndpoint);
  // The longest wait of the most urgent requests is one second.
  CHECK(*answer->retry_after >= seconds(7));
  CHECK(bench.Last<RequestPermit>() == nullptr);
}

TEST_CASE(
    "a host grants permits only as the limit's owner, and not two at a time") {
  NodeBench bench;
  // A host without peers owns all limits.
  bench.now = At(10'000);
  const PermitRequest request{{"e1"},
                              kFirstIncarnation,
                              {"z"},
                              milliseconds(0),
                              {{2.0}, milliseconds(5)}};
  const auto decision_of = [&bench](uint64_t exchange, PermitRequest it) {
    bench.Feed(PeerPermitRequested{PeerExchangeId{exchange}, std::move(it)});
    return bench.Last<AnswerPermit>()->answer.decision;
  };
  CHECK(std::holds_alternative<PermitGranted>(decision_of(1, request)));
  CHECK(std::holds_alternative<PermitRefused>(decision_of(2, request)));
  // Once a larger host exists, it owns the limits.
  bench.AddPeer();
  CHECK(std::holds_alternative<NotLimitOwner>(decision_of(3, request)));
}

TEST_CASE(
    "a new limit is reported to its owner, and peers' reports are applied") {
  LimitBench bench;
  bench.now += milliseconds(10);
  bench.Hear("e1", {3.0});
  REQUIRE(bench.Last<SendLimitsToPeer>() != nullptr);
  CHECK(base::ToText(bench.Last<SendLimitsToPeer>()->address) == "10.0.0.2:1");
  bench.actions.clear();
  // A peer's report is applied unless it is older than the known limit.
  const auto report = [&bench](const RequestLimit& limit, milliseconds age) {
    bench.Feed(PeerLimitsReceived{{{{"e1"}, {}, {limit, age}}}});
  };
  bench.now += milliseconds(100);
  report({}, milliseconds(200));
  bench.Feed(PlainRequest(1));
  CHECK_FALSE(bench.HasSent());
  report({}, milliseconds(20));
  bench.Feed(PlainRequest(2));
  CHECK(bench.HasSent());
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
