#include <doctest/doctest.h>

#include <functional>
#include <string>

#include "http_pair.h"

// Transfers that have a time limit for progress in place of one for the whole.
namespace bilberry::transport {
namespace {

using std::chrono::milliseconds;

// A server that sends `parts` parts of 2 KB, one every `interval`.
struct SlowServer {
  SlowServer(int parts, milliseconds interval, bool ends)
      : pair([this, parts, interval, ends](const IncomingRequest& it) {
          pair.listener->BeginStream(it.exchange, 200, {});
          Send(it.exchange, parts, interval, ends);
        }) {}

  void Send(ExchangeId exchange, int parts, milliseconds interval, bool ends) {
    if (parts == 0) {
      if (ends)
        pair.listener->EndStream(exchange, StreamEnd::kWhole);
      return;
    }
    pair.listener->WriteStream(exchange, std::string(2000, 'x'));
    pair.timers.After(interval, [this, exchange, parts, interval, ends] {
      Send(exchange, parts - 1, interval, ends);
    });
  }

  HttpRequest Request() const {
    HttpRequest request = pair.Request();
    request.timeout = milliseconds(500);
    request.stall_timeout = milliseconds(500);
    return request;
  }

  HttpPair pair;
};

TEST_CASE(
    "an answer whose bytes keep coming may take longer than its timeout") {
  SlowServer server(12, milliseconds(100), true);
  const base::TimePoint began = server.pair.reactor.Now();
  const auto outcome = server.pair.Ask(server.Request());
  const auto* response = std::get_if<HttpResponse>(&outcome);
  REQUIRE(response != nullptr);
  CHECK(response->body.size() == 24'000);
  CHECK(server.pair.reactor.Now() - began > milliseconds(1000));
}

TEST_CASE(
    "an answer that stops in the middle fails, and says how far it came") {
  SlowServer server(3, milliseconds(50), false);
  const auto outcome = server.pair.Ask(server.Request());
  const auto* failure = std::get_if<HttpFailure>(&outcome);
  REQUIRE(failure != nullptr);
  CHECK(failure->received_bytes == 6000);
  CHECK(failure->detail.ends_with("after 6000 bytes"));
  CHECK(failure->kind == node::EndpointFailureKind::kBroken);
}

TEST_CASE("an answer that never begins fails at its timeout") {
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  request.timeout = milliseconds(200);
  request.stall_timeout = milliseconds(500);
  const auto outcome = pair.Ask(std::move(request));
  CHECK(std::holds_alternative<HttpFailure>(outcome));
}

TEST_SUITE_BEGIN("turns");

// Guards against a peer that keeps a call open by a byte now and then.
TEST_CASE("bytes that trickle in don't keep a transfer alive") {
  HttpPair* self = nullptr;
  std::function<void(ExchangeId)> trickle = [&](ExchangeId exchange) {
    self->listener->WriteStream(exchange, "x");
    self->timers.After(milliseconds(50), [&, exchange] { trickle(exchange); });
  };
  HttpPair pair([&](const IncomingRequest& it) {
    self->listener->BeginStream(it.exchange, 200, {});
    trickle(it.exchange);
  });
  self = &pair;
  HttpRequest request = pair.Request();
  request.timeout = milliseconds(300);
  request.stall_timeout = milliseconds(300);
  const auto outcome = pair.Ask(std::move(request));
  CHECK(std::holds_alternative<HttpFailure>(outcome));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
