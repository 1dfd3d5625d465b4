#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Fakes/node_harness.h"
#include "Standins/endpoint_standin.h"
#include "Standins/free_address.h"
#include "http_pair.h"

namespace bilberry::transport {
namespace {

using standins::EndpointModel;
using standins::EndpointStandin;

struct StandinPair : HttpPair {
  explicit StandinPair(const EndpointModel& model)
      : HttpPair([](const IncomingRequest&) {}) {
    base::HostEntry entry = fakes::MakeEndpoint("e", "p");
    entry.address.port = 0;
    endpoint = Unwrap(EndpointStandin::Create(reactor, timers, entry, model));
  }

  HttpRequest RequestTo(std::string path, std::string body) const {
    HttpRequest request = Request(std::move(path));
    request.address = endpoint->entry().address;
    request.body = std::move(body);
    return request;
  }

  base::Duration TimeOf(const HttpRequest& request) {
    const base::TimePoint began = reactor.Now();
    REQUIRE(std::holds_alternative<HttpResponse>(Ask(request)));
    return reactor.Now() - began;
  }

  std::unique_ptr<EndpointStandin> endpoint;
};

TEST_SUITE_BEGIN("contract");

// Tests reserve several addresses before they listen at them.
TEST_CASE("no address is handed out twice") {
  constexpr size_t kAddresses = 2000;
  HttpPair pair([](const IncomingRequest&) {});
  std::set<base::SocketAddress> addresses;
  for (size_t i = 0; i < kAddresses; ++i)
    addresses.insert(standins::FreeAddress(pair.reactor));
  CHECK(addresses.size() == kAddresses);
}

TEST_CASE("a resumed stream continues at the requested offset") {
  StandinPair pair({});
  HttpRequest request = pair.RequestTo("/generate", "1");
  const auto whole = std::get<HttpResponse>(pair.Ask(request));
  CHECK(FindHeader(whole.headers, kResumedFromHeader) == nullptr);
  request.headers = {{kResumeOffsetHeader, "20"}};
  const auto rest = std::get<HttpResponse>(pair.Ask(request));
  const std::string* from = FindHeader(rest.headers, kResumedFromHeader);
  REQUIRE(from != nullptr);
  CHECK(*from == "20");
  CHECK(rest.body == whole.body.substr(20));
}

TEST_CASE("a body with the crash mark fails all requests in flight") {
  EndpointModel model;
  model.crash_mark = "crash";
  model.service = std::chrono::milliseconds(500);
  model.restart_time = std::chrono::milliseconds(300);
  StandinPair pair(model);
  std::optional<HttpOutcome> innocent;
  pair.client->Send(pair.RequestTo("/stock", "{}"),
                    [&](HttpOutcome it) { innocent = std::move(it); });
  REQUIRE(pair.RunUntil([&] { return pair.endpoint->executions() == 1; }));
  CHECK(std::holds_alternative<HttpFailure>(
      pair.Ask(pair.RequestTo("/stock", "crash"))));
  REQUIRE(pair.RunUntil([&] { return innocent.has_value(); }));
  CHECK(std::holds_alternative<HttpFailure>(*innocent));
  CHECK(pair.endpoint->deaths() == 1);
  const auto refused = pair.Ask(pair.RequestTo("/stock", "{}"));
  REQUIRE(std::holds_alternative<HttpFailure>(refused));
  CHECK(std::get<HttpFailure>(refused).kind ==
        node::EndpointFailureKind::kUnreachable);
  CHECK(pair.RunUntil([&] {
    return std::holds_alternative<HttpResponse>(
        pair.Ask(pair.RequestTo("/stock", "{}")));
  }));
}

TEST_CASE("service time grows with the body size and the slowness factor") {
  EndpointModel model;
  model.service = std::chrono::milliseconds(20);
  model.per_kilobyte = std::chrono::microseconds(5000);
  StandinPair pair(model);
  const std::string kilobytes(size_t{10} * 1024, 'x');
  CHECK(pair.TimeOf(pair.RequestTo("/stock", kilobytes)) >=
        std::chrono::milliseconds(70));
  pair.endpoint->SetSlowdown(10);
  CHECK(pair.TimeOf(pair.RequestTo("/stock", "{}")) >=
        std::chrono::milliseconds(200));
}

TEST_CASE("the fourth concurrent request takes four times as long") {
  EndpointModel model;
  model.service = std::chrono::milliseconds(200);
  model.batch_percent = 100;
  StandinPair pair(model);
  for (int i = 0; i < 3; ++i)
    pair.client->Send(pair.RequestTo("/stock", "{}"),
                      [](const HttpOutcome&) {});
  REQUIRE(pair.RunUntil([&] { return pair.endpoint->executions() == 3; }));
  CHECK(pair.TimeOf(pair.RequestTo("/stock", "{}")) >=
        std::chrono::milliseconds(800));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
