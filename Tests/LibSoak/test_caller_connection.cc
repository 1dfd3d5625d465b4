#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "../LibTransport/http_pair.h"
#include "LibSoak/caller_connection.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"
#include "Standins/free_address.h"
#include "Standins/relay.h"

namespace bilberry::soak {

namespace {

using transport::HttpListener;
using transport::IncomingRequest;

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// A caller connected to a server whose answers the test specifies.
class ServedCaller {
 public:
  explicit ServedCaller(
      const std::function<void(HttpListener&, const IncomingRequest&)>& serve)
      : listener(transport::Unwrap(
            HttpListener::Create(reactor,
                                 {standins::FreeAddress(reactor)},
                                 [this, serve](const IncomingRequest& it) {
                                   serve(*listener, it);
                                 }))) {}

  ConnectionAnswer Ask() {
    answer.reset();
    REQUIRE((connection.is_open() || connection.Open(listener->address())));
    REQUIRE(connection.Send(kRequest));
    const base::TimePoint end = reactor.Now() + transport::kTestTimeout;
    while (!answer && reactor.Now() < end)
      reactor.RunOnce(std::chrono::milliseconds(5));
    REQUIRE(answer.has_value());
    return *answer;
  }

  transport::Reactor reactor;
  std::unique_ptr<HttpListener> listener;
  std::optional<ConnectionAnswer> answer;
  size_t strays = 0;
  CallerConnection connection{
      reactor, [this](ConnectionAnswer it) { answer = std::move(it); },
      [this](size_t n) { strays += n; }};
};

}  // namespace

TEST_CASE("a caller keeps its connection after complete answers") {
  ServedCaller served([](HttpListener& listener, const IncomingRequest& it) {
    listener.Respond(it.exchange, {200, {{"A", "b"}}, "body"});
  });
  for (int i = 0; i < 3; ++i) {
    const ConnectionAnswer answer = served.Ask();
    CHECK(answer.end == AnswerEnd::kWhole);
    CHECK(answer.status == 200);
    CHECK(answer.body == "body");
    CHECK(served.connection.is_open());
  }
  CHECK(served.strays == 0);
}

TEST_CASE("a caller distinguishes a truncated stream from a complete one") {
  transport::StreamEnd end = transport::StreamEnd::kWhole;
  AnswerEnd expected = AnswerEnd::kWhole;
  SUBCASE("whole") {}
  SUBCASE("cut") {
    end = transport::StreamEnd::kCut;
    expected = AnswerEnd::kCut;
  }
  ServedCaller served([end](HttpListener& listener, const IncomingRequest& it) {
    listener.BeginStream(it.exchange, 200, {});
    listener.WriteStream(it.exchange, "part");
    listener.EndStream(it.exchange, end);
  });
  CHECK(served.Ask().end == expected);
}

TEST_CASE("a caller detects a connection that closes without an answer") {
  ServedCaller served([](HttpListener& listener, const IncomingRequest& it) {
    listener.Abort(it.exchange);
  });
  CHECK(served.Ask().end == AnswerEnd::kNone);
  CHECK(!served.connection.is_open());
}

TEST_CASE("a slow link delays all bytes and keeps their order") {
  ServedCaller served([](HttpListener& listener, const IncomingRequest& it) {
    listener.Respond(it.exchange, {200, {}, std::string(100'000, 'x')});
  });
  const auto relay = transport::Unwrap(standins::Relay::Create(
      served.reactor, standins::FreeAddress(served.reactor),
      served.listener->address()));
  REQUIRE(served.connection.Open(relay->address()));
  relay->Order(standins::LinkState::kSlow);
  const base::TimePoint begin = served.reactor.Now();
  CHECK(served.Ask().body == std::string(100'000, 'x'));
  CHECK(served.reactor.Now() - begin >= std::chrono::milliseconds(200));
  relay->Order(standins::LinkState::kHealthy);
  CHECK(served.Ask().end == AnswerEnd::kWhole);
}

}  // namespace bilberry::soak
