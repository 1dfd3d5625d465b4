#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <vector>

#include "http_pair.h"

// Tests after which answers a pooled connection is reused.
namespace bilberry::transport {
namespace {

TEST_SUITE_BEGIN("contract");

TEST_CASE("only a success with the reuse marker keeps its connection") {
  const struct {
    const char* name;
    HttpResponse answer;
    bool is_kept;
  } kinds[] = {
      {"results", {200, {}, R"({"items":[{"handle":"1"}]})"}, true},
      {"no results", {200, {}, R"({"items":[{"reason":"late"}]})"}, false},
      {"an empty body", {200, {}, ""}, false},
      {"a refusal", {503, {}, ""}, false},
      {"a refusal with results", {503, {}, R"({"handle":"1"})"}, false},
  };
  for (const auto& kind : kinds) {
    CAPTURE(kind.name);
    HttpPair pair([](const IncomingRequest&) {});
    std::unique_ptr<HttpListener> listener;
    listener = Unwrap(HttpListener::Create(
        pair.reactor, {{"127.0.0.1", 0}}, [&](const IncomingRequest& it) {
          listener->Respond(it.exchange, kind.answer);
        }));
    HttpRequest request = pair.Request();
    request.address = listener->address();
    request.connection = node::ConnectionUse::kPooled;
    request.reuse_marker = "\"handle\"";
    std::vector<node::ConnectionAge> ages;
    for (int i = 0; i < 3; ++i) {
      std::optional<HttpOutcome> outcome;
      pair.client->Send(
          request, [&outcome](HttpOutcome it) { outcome = std::move(it); },
          nullptr, [&ages](node::ConnectionAge it) { ages.push_back(it); });
      REQUIRE(pair.RunUntil([&] { return outcome.has_value(); }));
    }
    REQUIRE(ages.size() == 3);
    CHECK(ages[0] == node::ConnectionAge::kFresh);
    for (const size_t i : {1, 2})
      CHECK((ages[i] == node::ConnectionAge::kReused) == kind.is_kept);
  }
}

TEST_CASE("a timed-out or cancelled request's connection is not reused") {
  for (const bool is_cancelled : {false, true}) {
    CAPTURE(is_cancelled);
    std::vector<ExchangeId> asked;
    HttpPair pair([](const IncomingRequest&) {});
    std::unique_ptr<HttpListener> listener;
    listener = Unwrap(HttpListener::Create(
        pair.reactor, {{"127.0.0.1", 0}}, [&](const IncomingRequest& it) {
          asked.push_back(it.exchange);
          // The second request gets no answer in time; a late one could reach
          // the third request if the connection were reused.
          if (asked.size() != 2)
            listener->Respond(it.exchange, {200, {}, "ok"});
        }));
    HttpRequest request = pair.Request();
    request.address = listener->address();
    request.connection = node::ConnectionUse::kPooled;
    CHECK(std::holds_alternative<HttpResponse>(pair.Ask(request)));
    request.timeout = std::chrono::milliseconds(is_cancelled ? 0 : 50);
    bool is_over = false;
    const auto id = pair.client->Send(
        request, [&is_over](const HttpOutcome&) { is_over = true; });
    REQUIRE(pair.RunUntil([&] { return asked.size() == 2; }));
    if (is_cancelled)
      pair.client->Cancel(id);
    else
      REQUIRE(pair.RunUntil([&] { return is_over; }));
    std::optional<node::ConnectionAge> age;
    std::optional<HttpOutcome> outcome;
    pair.client->Send(
        request, [&outcome](HttpOutcome it) { outcome = std::move(it); },
        nullptr, [&age](node::ConnectionAge it) { age = it; });
    REQUIRE(pair.RunUntil([&] { return outcome.has_value(); }));
    CHECK(age == node::ConnectionAge::kFresh);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::transport
