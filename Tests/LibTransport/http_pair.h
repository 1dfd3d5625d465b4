#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <utility>

#include "LibTransport/http_client.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/timer_queue.h"

namespace bilberry::transport {

template <typename T>
T Unwrap(base::Result<T> result) {
  if (!result)
    FAIL(ToText(result.error()));
  return std::move(result.value());
}

// Far longer than any test needs, so that a slow machine does not fail it.
inline constexpr std::chrono::seconds kTestTimeout{20};
inline constexpr std::chrono::milliseconds kTurnTimeout{50};

// An HTTP client and a listener on the same reactor.
struct HttpPair {
  explicit HttpPair(HttpListener::RequestHandler handler,
                    HttpListener::DisconnectHandler left = nullptr)
      : listener(Unwrap(HttpListener::Create(reactor,
                                             {{"127.0.0.1", 0}},
                                             std::move(handler),
                                             std::move(left)))) {}

  // Runs the loop until `is_done` returns true; returns false on a timeout.
  template <typename Condition>
  bool RunUntil(Condition is_done) {
    const base::TimePoint end = reactor.Now() + kTestTimeout;
    while (!is_done() && reactor.Now() < end)
      reactor.RunOnce(kTurnTimeout);
    return is_done();
  }

  HttpRequest Request(std::string path = "/") const {
    HttpRequest request;
    request.method = HttpMethod::kPost;
    request.address = listener->address();
    request.path = std::move(path);
    return request;
  }

  HttpOutcome Ask(HttpRequest request) {
    std::optional<HttpOutcome> outcome;
    client->Send(std::move(request),
                 [&outcome](HttpOutcome it) { outcome = std::move(it); });
    REQUIRE(RunUntil([&] { return outcome.has_value(); }));
    return std::move(*outcome);
  }

  Reactor reactor;
  TimerQueue timers{reactor};
  std::unique_ptr<HttpClient> client = Unwrap(HttpClient::Create(reactor));
  std::unique_ptr<HttpListener> listener;
};

}  // namespace bilberry::transport
