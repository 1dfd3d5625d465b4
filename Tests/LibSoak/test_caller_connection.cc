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

// A caller before a server that answers as the test says.
class Served {
 public:
  explicit Served(
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
    const base::TimePoint end = reactor.Now() + transport::kPatience;
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

TEST_CASE("a caller keeps its connection for whole answers") {
  Served served([](HttpListener& listener, const IncomingRequest& it) {
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

TEST_CASE("a caller tells a cut stream from a whole one") {
  transport::StreamEnd end = transport::StreamEnd::kWhole;
  AnswerEnd expected = AnswerEnd::kWhole;
  SUBCASE("whole") {}
  SUBCASE("cut") {
    end = transport::StreamEnd::kCut;
    expected = AnswerEnd::kCut;
  }
  Served served([end](HttpListener& listener, const IncomingRequest& it) {
    listener.BeginStream(it.exchange, 200, {});
    listener.WriteStream(it.exchange, "part");
    listener.EndStream(it.exchange, end);
  });
  CHECK(served.Ask().end == expected);
}

TEST_CASE("a caller sees that a connection ends without an answer") {
  Served served([](HttpListener& listener, const IncomingRequest& it) {
    listener.Abort(it.exchange);
  });
  CHECK(served.Ask().end == AnswerEnd::kNone);
  CHECK(!served.connection.is_open());
}

TEST_CASE("a slow link passes all in order, late") {
  Served served([](HttpListener& listener, const IncomingRequest& it) {
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
  relay->Order(standins::LinkState::kSound);
  CHECK(served.Ask().end == AnswerEnd::kWhole);
}

}  // namespace bilberry::soak
