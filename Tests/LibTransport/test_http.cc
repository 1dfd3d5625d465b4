#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http_pair.h"

namespace bilberry::transport {
namespace {

using node::ConnectionAge;
using node::ConnectionUse;
using node::EndpointFailureKind;

TEST_SUITE_BEGIN("contract");

// With both bound to the address, each would get a part of the callers.
TEST_CASE("listening at an address in use fails") {
  Reactor reactor;
  const auto ignore = [](const IncomingRequest&) {};
  auto first =
      Unwrap(HttpListener::Create(reactor, {{"127.0.0.1", 0}}, ignore));
  const base::SocketAddress address = first->address();
  CHECK_FALSE(HttpListener::Create(reactor, {address}, ignore).has_value());
  first.reset();
  CHECK(HttpListener::Create(reactor, {address}, ignore).has_value());
}

TEST_CASE("large requests and answers arrive complete") {
  HttpPair* raw = nullptr;
  HttpPair pair([&raw](IncomingRequest it) {
    raw->listener->Respond(it.exchange, {201, {{"X-Path", it.path}}, it.body});
  });
  raw = &pair;
  HttpRequest request = pair.Request("/a/b");
  request.body = std::string(size_t{900} * 1024, 'x');
  const std::string body = request.body;
  const auto outcome = pair.Ask(std::move(request));
  const auto& response = std::get<HttpResponse>(outcome);
  CHECK(response.status == 201);
  CHECK(*FindHeader(response.headers, "x-path") == "/a/b");
  CHECK(response.body == body);
}

TEST_CASE("an asynchronous answer is sent without delay") {
  HttpPair* raw = nullptr;
  HttpPair pair([&raw](const IncomingRequest& it) {
    raw->timers.After(std::chrono::milliseconds(20), [&raw, id = it.exchange] {
      raw->listener->Respond(id, {200, {}, "later"});
    });
  });
  raw = &pair;
  const auto outcome = pair.Ask(pair.Request());
  CHECK(std::get<HttpResponse>(outcome).body == "later");
}

TEST_CASE("a request to a closed port is unreachable") {
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  pair.listener.reset();
  const auto outcome = pair.Ask(std::move(request));
  CHECK(std::get<HttpFailure>(outcome).kind ==
        EndpointFailureKind::kUnreachable);
}

TEST_CASE("a connection closed unanswered is broken, not unreachable") {
  HttpPair* raw = nullptr;
  HttpPair pair(
      [&raw](const IncomingRequest& it) { raw->listener->Abort(it.exchange); });
  raw = &pair;
  HttpRequest request = pair.Request();
  request.connection = ConnectionUse::kFresh;
  const auto outcome = pair.Ask(std::move(request));
  CHECK(std::get<HttpFailure>(outcome).kind == EndpointFailureKind::kBroken);
  CHECK(std::get<HttpFailure>(outcome).connection == ConnectionAge::kFresh);
}

TEST_CASE("a request on a fresh connection is not retried") {
  HttpPair* raw = nullptr;
  int requests = 0;
  HttpPair pair([&](const IncomingRequest& it) {
    ++requests;
    raw->listener->Abort(it.exchange);
  });
  raw = &pair;
  for (int i = 1; i <= 3; ++i) {
    HttpRequest request = pair.Request();
    request.connection = ConnectionUse::kFresh;
    pair.Ask(std::move(request));
    CHECK(requests == i);
  }
}

struct StreamCase {
  StreamEnd end;
  bool is_whole;
};

TEST_CASE("a truncated stream is a failure, a complete one is not") {
  for (const StreamCase& each : {StreamCase{StreamEnd::kWhole, true},
                                 StreamCase{StreamEnd::kCut, false}}) {
    HttpPair* raw = nullptr;
    HttpPair pair([&](const IncomingRequest& it) {
      raw->listener->BeginStream(it.exchange, 200, {});
      raw->listener->WriteStream(it.exchange, "one");
      raw->timers.After(std::chrono::milliseconds(10),
                        [&raw, &each, id = it.exchange] {
                          raw->listener->WriteStream(id, "two");
                          raw->listener->EndStream(id, each.end);
                        });
    });
    raw = &pair;
    std::optional<HttpOutcome> outcome;
    std::string stream;
    pair.client->Send(
        pair.Request(), [&outcome](HttpOutcome it) { outcome = std::move(it); },
        [&stream](const HttpResponse&, const std::string& it) {
          stream += it;
        });
    REQUIRE(pair.RunUntil([&] { return outcome.has_value(); }));
    CHECK(std::holds_alternative<HttpResponse>(*outcome) == each.is_whole);
    if (each.is_whole)
      CHECK(stream == "onetwo");
  }
}

TEST_CASE("a client's disconnect is detected while waiting or streaming") {
  for (const bool is_streaming : {false, true}) {
    HttpPair* raw = nullptr;
    bool was_asked = false;
    bool has_left = false;
    HttpPair pair(
        [&](const IncomingRequest& it) {
          was_asked = true;
          if (!is_streaming)
            return;
          raw->listener->BeginStream(it.exchange, 200, {});
          raw->listener->WriteStream(it.exchange, "one");
        },
        [&](ExchangeId id) {
          has_left = true;
          raw->listener->Abort(id);
        });
    raw = &pair;
    const auto transfer =
        pair.client->Send(pair.Request(), [](const HttpOutcome&) {});
    REQUIRE(pair.RunUntil([&] { return was_asked; }));
    pair.client->Cancel(transfer);
    CHECK(pair.RunUntil([&] { return has_left; }));
  }
}

TEST_CASE("a cancelled transfer runs no callback") {
  HttpPair* raw = nullptr;
  HttpPair pair([&raw](const IncomingRequest& it) {
    raw->listener->Respond(it.exchange, {200, {}, ""});
  });
  raw = &pair;
  bool was_heard = false;
  const auto transfer = pair.client->Send(
      pair.Request(), [&was_heard](const HttpOutcome&) { was_heard = true; });
  pair.client->Cancel(transfer);
  pair.client->Cancel(transfer);
  pair.Ask(pair.Request());
  CHECK_FALSE(was_heard);
}

// Guards against a failure that is told of another attempt, since the handler
// that holds the attempt's ID was destroyed while it ran (TWICE).
TEST_CASE("a handler that cancels its own transfer keeps what it holds") {
  HttpPair* raw = nullptr;
  HttpPair pair([&raw](const IncomingRequest& it) {
    raw->listener->BeginStream(it.exchange, 200, {});
    raw->listener->WriteStream(it.exchange, "one");
  });
  raw = &pair;
  auto held = std::make_shared<int>(1);
  const std::weak_ptr<int> watched = held;
  HttpTransferId transfer{};
  std::optional<bool> was_kept;
  transfer = pair.client->Send(
      pair.Request(), [](const HttpOutcome&) {},
      [&, held = std::move(held)](const HttpResponse&, const std::string&) {
        pair.client->Cancel(transfer);
        was_kept = !watched.expired();
      });
  REQUIRE(pair.RunUntil([&] { return was_kept.has_value(); }));
  CHECK(*was_kept);
  CHECK(pair.RunUntil([&] { return watched.expired(); }));
}

TEST_CASE("pooled connections are reused unless they were retired") {
  for (const bool is_condemned : {false, true}) {
    HttpPair* raw = nullptr;
    HttpPair pair([&raw](const IncomingRequest& it) {
      if (it.path != "/silent")
        raw->listener->Respond(it.exchange, {200, {}, ""});
    });
    raw = &pair;
    HttpRequest request = pair.Request();
    request.connection = ConnectionUse::kPooled;
    pair.Ask(std::move(request));
    if (is_condemned)
      pair.client->RetireConnections(pair.listener->address());
    HttpRequest silent = pair.Request("/silent");
    silent.connection = ConnectionUse::kPooled;
    silent.timeout = std::chrono::milliseconds(50);
    const auto outcome = pair.Ask(std::move(silent));
    CHECK(std::get<HttpFailure>(outcome).connection ==
          (is_condemned ? ConnectionAge::kFresh : ConnectionAge::kReused));
  }
}

TEST_CASE("an unanswered request fails at its timeout") {
  HttpPair pair([](const IncomingRequest&) {});
  HttpRequest request = pair.Request();
  request.timeout = std::chrono::milliseconds(50);
  const auto outcome = pair.Ask(std::move(request));
  CHECK(std::get<HttpFailure>(outcome).kind == EndpointFailureKind::kBroken);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
