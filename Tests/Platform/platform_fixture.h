#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "../LibTransport/http_pair.h"
#include "LibTransport/forward_shell.h"
#include "Standins/small_platform.h"
#include "platform/platform_adapter.h"

namespace bilberry::platform {

// The small platform and entry hosts on one reactor.
class PlatformFixture {
 public:
  explicit PlatformFixture(size_t hosts = 1);

  void AddHost(const std::string& name);
  // A host that reaches the store at another address.
  void AddHost(const std::string& name, const base::SocketAddress& store_at);
  void WaitUntilReady();

  template <typename Condition>
  bool RunUntil(Condition is_done) {
    const base::TimePoint end = reactor.Now() + transport::kTestTimeout;
    while (!is_done() && reactor.Now() < end)
      reactor.RunOnce(std::chrono::milliseconds(5));
    return is_done();
  }
  void RunFor(std::chrono::milliseconds time);

  // Returns a valid request of a caller.
  transport::HttpRequest Request(const std::string& method,
                                 const std::string& target,
                                 size_t host = 0);
  transport::HttpRequest StreamRequest(const std::string& target,
                                       size_t host = 0);
  transport::HttpOutcome Ask(transport::HttpRequest request);
  transport::HttpResponse Answer(transport::HttpRequest request);
  // The requests that have arrived at the endpoints of the desk's pool.
  size_t DeskArrivals() const;

  transport::Reactor reactor;
  transport::TimerQueue timers{reactor};
  std::unique_ptr<transport::HttpClient> http =
      transport::Unwrap(transport::HttpClient::Create(reactor));
  std::unique_ptr<standins::SmallPlatform> platform = transport::Unwrap(
      standins::SmallPlatform::Create(reactor, {"127.0.0.1", 0}));
  standins::RowStoreStandin& store = *platform->store;
  standins::PieceEndpointStandin& desk = *platform->desk;
  standins::PieceEndpointStandin& other_desk = *platform->other_desk;
  standins::PieceEndpointStandin& engine = *platform->engine;
  standins::PieceEndpointStandin& other_engine = *platform->other_engine;
  standins::PieceEndpointStandin& maker = *platform->maker;
  std::vector<std::unique_ptr<PlatformAdapter>> adapters;
  std::vector<std::unique_ptr<transport::ForwardShell>> shells;
  std::vector<declare::ForwardSettings> settings;

 private:
  uint64_t last_request_ = 0;
  uint64_t last_boot_ = 0;
};

}  // namespace bilberry::platform
