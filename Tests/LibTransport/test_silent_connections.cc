#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "Fakes/node_harness.h"
#include "LibPolicy/retry_budget.h"
#include "LibTransport/node_shell.h"
#include "Standins/endpoint_standin.h"
#include "Standins/free_address.h"
#include "Standins/platform_standin.h"
#include "Standins/relay.h"
#include "http_pair.h"

namespace bilberry::transport {
namespace {

using standins::LinkState;
using standins::Relay;

// One entry host whose link to the pool "desk" a test can cut.
class LinkedWorld {
 public:
  LinkedWorld() {
    base::HostEntry entry = fakes::MakeEndpoint("desk-1", "desk");
    entry.address.port = 0;
    desk = Sound(standins::EndpointStandin::Create(reactor, timers, entry, {}));
    link =
        Sound(Relay::Create(reactor, {"127.0.0.1", 0}, desk->entry().address));
    fakes::PutSmallDeployment(platform->store());
    entry = desk->entry();
    entry.address = link->address();
    platform->store().PutHost(entry);
    node::NodeOptions options = fakes::MakeOptions("entry-1", 1);
    options.settings.platform = platform->address();
    options.settings.callers = standins::FreeAddress(reactor);
    options.settings.peers = standins::FreeAddress(reactor);
    callers = options.settings.callers;
    shell = Sound(NodeShell::Create(reactor, std::move(options)));
    WaitUntilReady();
  }

  HttpResponse Call(const std::string& pipeline, HttpHeaders headers) {
    HttpRequest request;
    request.method = HttpMethod::kPost;
    request.address = callers;
    request.path = "/v1/pipelines/" + pipeline;
    request.headers = std::move(headers);
    request.headers.push_back({kTeamHeader, "t"});
    request.body = "{}";
    return Ask(std::move(request));
  }

  Reactor reactor;
  TimerQueue timers{reactor};
  std::unique_ptr<HttpClient> http = Sound(HttpClient::Create(reactor));
  std::unique_ptr<standins::PlatformStandin> platform =
      Sound(standins::PlatformStandin::Create(reactor,
                                              {"127.0.0.1", 0},
                                              {"127.0.0.1", 0}));
  std::unique_ptr<standins::EndpointStandin> desk;
  std::unique_ptr<Relay> link;
  base::SocketAddress callers;
  std::unique_ptr<NodeShell> shell;

 private:
  HttpResponse Ask(HttpRequest request) {
    std::optional<HttpOutcome> outcome;
    http->Send(std::move(request),
               [&outcome](HttpOutcome it) { outcome = std::move(it); });
    const base::TimePoint end = reactor.Now() + kPatience;
    while (!outcome && reactor.Now() < end)
      reactor.RunOnce(kTurn);
    REQUIRE(outcome);
    REQUIRE(std::holds_alternative<HttpResponse>(*outcome));
    return std::get<HttpResponse>(std::move(*outcome));
  }

  void WaitUntilReady() {
    HttpRequest request;
    request.address = callers;
    request.path = "/readyz";
    const base::TimePoint end = reactor.Now() + kPatience;
    while (Ask(request).status != 200)
      REQUIRE(reactor.Now() < end);
  }
};

TEST_SUITE_BEGIN("contract");

TEST_CASE("when open connections fall silent, the call is answered in time") {
  LinkedWorld world;
  for (uint32_t i = 0; i < policy::kFirstTriesPerRetry; ++i)
    REQUIRE(world.Call("stock", {}).status == 200);
  world.link->Order(LinkState::kForgetsOld);
  // Its deadline is 1 s, which a silent connection would use up.
  CHECK(world.Call("stock", {}).status == 200);
  CHECK(world.Call("stock", {}).status == 200);
}

TEST_CASE("a booking is not doubled when open connections fall silent") {
  LinkedWorld world;
  for (uint32_t i = 0; i < policy::kFirstTriesPerRetry; ++i)
    REQUIRE(world.Call("stock", {}).status == 200);
  world.link->Order(LinkState::kForgetsOld);
  CHECK(world.Call("booking", {{kIdempotencyKeyHeader, "k"}}).status == 200);
  CHECK(world.desk->executions_by_key().at("k") == 1);
}

TEST_CASE("what was sent over a reused connection may have taken effect") {
  HttpPair* raw = nullptr;
  int requests = 0;
  HttpPair pair([&](const IncomingRequest& it) {
    if (++requests == 1)
      raw->listener->Respond(it.exchange, {200, {}, "whole"});
  });
  raw = &pair;
  HttpRequest request = pair.Request();
  request.connection = node::ConnectionUse::kPooled;
  REQUIRE(std::holds_alternative<HttpResponse>(pair.Ask(request)));
  std::optional<HttpOutcome> outcome;
  std::optional<node::ConnectionAge> age;
  pair.client->Send(
      request, [&outcome](HttpOutcome it) { outcome = std::move(it); }, nullptr,
      [&age](node::ConnectionAge it) { age = it; });
  REQUIRE(pair.RunUntil([&] { return requests == 2; }));
  // The endpoint dies with the request in hand.
  pair.listener.reset();
  REQUIRE(pair.RunUntil([&] { return outcome.has_value(); }));
  CHECK(age == node::ConnectionAge::kReused);
  const auto* failure = std::get_if<HttpFailure>(&*outcome);
  REQUIRE(failure != nullptr);
  CHECK(failure->kind == node::EndpointFailureKind::kBroken);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
