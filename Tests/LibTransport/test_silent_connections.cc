#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "LibPolicy/retry_budget.h"
#include "Standins/relay.h"
#include "single_host_fixture.h"

namespace bilberry::transport {
namespace {

using standins::LinkState;
using standins::Relay;

// One entry host whose link to the pool "desk" can be cut.
class CuttableLinkFixture : public SingleHostFixture {
 public:
  CuttableLinkFixture() {
    base::HostEntry entry = desk->entry();
    entry.address = link->address();
    platform->store().PutHost(entry);
    shell = StartHost();
  }

  HttpResponse Call(const std::string& pipeline, HttpHeaders headers) {
    headers.push_back({kTeamHeader, "t"});
    return Post("/v1/pipelines/" + pipeline, std::move(headers), "{}");
  }

  std::unique_ptr<standins::EndpointStandin> desk =
      MakeEndpoint("desk-1", "desk");
  std::unique_ptr<Relay> link =
      Unwrap(Relay::Create(reactor, {"127.0.0.1", 0}, desk->entry().address));
  std::unique_ptr<NodeShell> shell;
};

TEST_SUITE_BEGIN("contract");

TEST_CASE("a call is answered in time when open connections fall silent") {
  CuttableLinkFixture fixture;
  for (uint32_t i = 0; i < policy::kFirstAttemptsPerRetry; ++i)
    REQUIRE(fixture.Call("stock", {}).status == 200);
  fixture.link->Order(LinkState::kDropsOldConnections);
  // The deadline is 1 s, which waiting on a silent connection would use up.
  CHECK(fixture.Call("stock", {}).status == 200);
  CHECK(fixture.Call("stock", {}).status == 200);
}

TEST_CASE("a booking runs once when open connections fall silent") {
  CuttableLinkFixture fixture;
  for (uint32_t i = 0; i < policy::kFirstAttemptsPerRetry; ++i)
    REQUIRE(fixture.Call("stock", {}).status == 200);
  fixture.link->Order(LinkState::kDropsOldConnections);
  CHECK(fixture.Call("booking", {{kIdempotencyKeyHeader, "k"}}).status == 200);
  CHECK(fixture.desk->executions_by_key().at("k") == 1);
}

TEST_CASE("a request lost on a reused connection is broken, not unreachable") {
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
  // The endpoint goes away while it processes the request.
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
