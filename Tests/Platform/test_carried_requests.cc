#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "platform/configuration_codec.h"
#include "platform/wire_names.h"
#include "platform_fixture.h"

// Requests that a host passes on to a peer, because it can't reach the
// endpoints itself.
namespace bilberry::platform {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCarriedMethod = "Carried-Method";
constexpr const char* kCarriedTarget = "Carried-Target";
constexpr const char* kDeclined = "Carry-Declined";
using transport::HttpResponse;

// A host whose endpoints all refuse connections, and a peer of it that reaches
// endpoints of the same pools.
struct CutHost {
  CutHost() {
    for (const auto& [name, pool] :
         {std::pair("desk-1", "desk"), std::pair("desk-2", "desk"),
          std::pair("llm-1", "llm"), std::pair("llm-2", "llm"),
          std::pair("maker-1", "maker")})
      cut.store.Put(wire::kEndpointTable, name,
                    R"({"service":")" + std::string(pool) +
                        R"(","address":"127.0.0.1:1","zone":"z1",)"
                        R"("state":"ready","seq":2})");
    const forward::PeerHost host{
        {"peer"}, peer.settings[0].peers, {"z1"}, 1, 0};
    cut.store.Put(wire::kHostTable, "peer", EncodeHost(host));
  }

  template <typename Condition>
  bool RunUntil(Condition is_done) {
    const base::TimePoint end = cut.reactor.Now() + transport::kTestTimeout;
    while (!is_done() && cut.reactor.Now() < end) {
      cut.reactor.RunOnce(milliseconds(2));
      peer.reactor.RunOnce(milliseconds(2));
    }
    return is_done();
  }

  HttpResponse Ask(const transport::HttpRequest& request) {
    std::optional<transport::HttpOutcome> outcome;
    cut.http->Send(request, [&outcome](transport::HttpOutcome it) {
      outcome = std::move(it);
    });
    REQUIRE(RunUntil([&] { return outcome.has_value(); }));
    REQUIRE(std::holds_alternative<HttpResponse>(*outcome));
    return std::get<HttpResponse>(std::move(*outcome));
  }

  // Asks until the host has noticed the cut.
  void AwaitCarrying() {
    REQUIRE(RunUntil([&] {
      Ask(cut.Request("GET", "/read/a"));
      return peer.DeskArrivals() > 0;
    }));
  }

  PlatformFixture peer{1};
  PlatformFixture cut{1};
};

TEST_SUITE_BEGIN("carried-requests");

TEST_CASE("a peer carries the requests of a host that reaches no endpoint") {
  CutHost hosts;
  hosts.AwaitCarrying();
  for (const auto& request : {hosts.cut.Request("GET", "/read/b?x=1"),
                              hosts.cut.Request("POST", "/book/c"),
                              hosts.cut.StreamRequest("/draft/d"),
                              hosts.cut.StreamRequest("/resume/e")}) {
    CAPTURE(request.path);
    const HttpResponse response = hosts.Ask(request);
    CHECK(response.status == 200);
    const std::string* id =
        base::FindHeader(response.headers, wire::kRequestId);
    REQUIRE(id != nullptr);
    CHECK(*id == *base::FindHeader(request.headers, wire::kRequestId));
    CHECK(base::FindHeader(response.headers, wire::kServerSeal) != nullptr);
  }
}

TEST_CASE("what runs for a carried request is what the caller sent") {
  CutHost hosts;
  hosts.AwaitCarrying();
  transport::HttpRequest request = hosts.cut.Request("POST", "/book/c?y=2");
  request.body = std::string(40'000, 'b');
  request.headers.push_back({"Note", "as sent"});
  CHECK(hosts.Ask(request).status == 200);
  const auto& desks = {&hosts.peer.desk, &hosts.peer.other_desk};
  size_t n = 0;
  for (const auto* desk : desks) {
    for (const auto& it : desk->arrivals()) {
      if (it.target != "/book/c?y=2")
        continue;
      ++n;
      CHECK(it.method == "POST");
      CHECK(it.body == request.body);
      CHECK(*base::FindHeader(it.headers, "Note") == "as sent");
      CHECK(*base::FindHeader(it.headers, wire::kTeam) == "sposi");
      CHECK(base::FindHeader(it.headers, wire::kApiKey) == nullptr);
      for (const char* name : {kCarriedMethod, kCarriedTarget})
        CHECK(base::FindHeader(it.headers, name) == nullptr);
    }
  }
  CHECK(n == 1);
}

// Guards against callers and endpoints that use the headers of hosts.
TEST_CASE("nothing that others send changes how a request is carried") {
  CutHost hosts;
  hosts.AwaitCarrying();
  for (auto* desk : {&hosts.peer.desk, &hosts.peer.other_desk})
    desk->SetNotices({{kDeclined, "1"}});
  transport::HttpRequest request = hosts.cut.Request("POST", "/book/h");
  request.headers.push_back({kCarriedMethod, "DELETE"});
  request.headers.push_back({kCarriedTarget, "/book/other"});
  CHECK(hosts.Ask(request).status == 200);
  size_t n = 0;
  for (const auto* desk : {&hosts.peer.desk, &hosts.peer.other_desk}) {
    for (const auto& it : desk->arrivals()) {
      if (!it.target.starts_with("/book/"))
        continue;
      ++n;
      CHECK(it.target == "/book/h");
      CHECK(it.method == "POST");
      CHECK(base::CountHeaders(it.headers, kCarriedTarget) == 1);
    }
  }
  CHECK(n == 1);
}

TEST_CASE("a peer that reaches no endpoint either declines at once") {
  CutHost hosts;
  hosts.AwaitCarrying();
  for (const char* name : {"desk-1", "desk-2"})
    hosts.peer.store.Put(wire::kEndpointTable, name,
                         R"({"service":"desk","address":"127.0.0.1:1",)"
                         R"("zone":"z1","state":"ready","seq":3})");
  int status = 0;
  REQUIRE(hosts.RunUntil([&] {
    status = hosts.Ask(hosts.cut.Request("GET", "/read/f")).status;
    return status == 503;
  }));
  const HttpResponse response = hosts.Ask(hosts.cut.Request("GET", "/read/g"));
  CHECK(response.status == 503);
  CHECK(base::FindHeader(response.headers, "Retry-After") != nullptr);
  CHECK(base::FindHeader(response.headers, kDeclined) == nullptr);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::platform
