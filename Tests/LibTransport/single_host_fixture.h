#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Fakes/node_harness.h"
#include "LibTransport/node_shell.h"
#include "Standins/endpoint_standin.h"
#include "Standins/free_address.h"
#include "Standins/platform_standin.h"
#include "http_pair.h"

namespace bilberry::transport {

// The small deployment's platform and one entry host over real sockets, on one
// reactor. Derived classes list endpoints and then start the host.
class SingleHostFixture {
 public:
  HttpResponse Ask(HttpRequest request) {
    std::optional<HttpOutcome> outcome;
    http->Send(std::move(request),
               [&outcome](HttpOutcome it) { outcome = std::move(it); });
    const base::TimePoint end = reactor.Now() + kTestTimeout;
    while (!outcome && reactor.Now() < end)
      reactor.RunOnce(kTurnTimeout);
    REQUIRE(outcome);
    REQUIRE(std::holds_alternative<HttpResponse>(*outcome));
    return std::get<HttpResponse>(std::move(*outcome));
  }

  HttpResponse Post(const std::string& path,
                    HttpHeaders headers,
                    std::string body) {
    HttpRequest request;
    request.method = HttpMethod::kPost;
    request.address = callers;
    request.path = path;
    request.headers = std::move(headers);
    request.body = std::move(body);
    return Ask(std::move(request));
  }

  Reactor reactor;
  TimerQueue timers{reactor};
  std::unique_ptr<HttpClient> http = Unwrap(HttpClient::Create(reactor));
  std::unique_ptr<standins::PlatformStandin> platform =
      Unwrap(standins::PlatformStandin::Create(reactor,
                                               {"127.0.0.1", 0},
                                               {"127.0.0.1", 0}));
  base::SocketAddress callers;
  base::SocketAddress peers;
  std::string token;

 protected:
  SingleHostFixture() { fakes::PutSmallDeployment(platform->store()); }

  std::unique_ptr<standins::EndpointStandin> MakeEndpoint(const char* name,
                                                          const char* pool) {
    base::HostEntry entry = fakes::MakeEndpoint(name, pool);
    entry.address.port = 0;
    return Unwrap(
        standins::EndpointStandin::Create(reactor, timers, entry, {}));
  }

  // Starts the host and waits until it is ready.
  std::unique_ptr<NodeShell> StartHost() {
    node::NodeOptions options = fakes::MakeOptions("entry-1", 1);
    options.settings.platform = platform->address();
    options.settings.callers = standins::FreeAddress(reactor);
    options.settings.peers = standins::FreeAddress(reactor);
    callers = options.settings.callers;
    peers = options.settings.peers;
    token = options.settings.operator_token;
    auto shell = Unwrap(NodeShell::Create(reactor, std::move(options)));
    WaitUntilReady();
    return shell;
  }

 private:
  void WaitUntilReady() {
    HttpRequest request;
    request.address = callers;
    request.path = "/readyz";
    const base::TimePoint end = reactor.Now() + kTestTimeout;
    while (Ask(request).status != 200)
      REQUIRE(reactor.Now() < end);
  }
};

}  // namespace bilberry::transport
