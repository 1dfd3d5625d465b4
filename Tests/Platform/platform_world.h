#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "../LibTransport/http_pair.h"
#include "LibTransport/forward_shell.h"
#include "Standins/piece_endpoint_standin.h"
#include "Standins/row_store_standin.h"
#include "platform/platform_adapter.h"

namespace bilberry::platform {

// A configuration with one pipeline of each kind, all under the host
// "shop.example": /read/ and /book/ on the pool "desk", /draft/ (a stream whose
// two stages run on "maker") and /resume/ (a stream that may go on) on "llm".
std::string SmallConfiguration(uint64_t revision);

// The users' platform in one loop: the store, three pools of one or two
// endpoints, and entry hosts.
class PlatformWorld {
 public:
  explicit PlatformWorld(size_t hosts = 1);

  void PutConfiguration(uint64_t revision);
  void List(const standins::PieceEndpointStandin& endpoint,
            const std::string& pool,
            const std::string& state = "ready");
  void AddHost(const std::string& name);
  void WaitUntilReady();

  template <typename Condition>
  bool RunUntil(Condition is_done) {
    const base::TimePoint end = reactor.Now() + transport::kPatience;
    while (!is_done() && reactor.Now() < end)
      reactor.RunOnce(std::chrono::milliseconds(5));
    return is_done();
  }
  void RunFor(std::chrono::milliseconds time);

  // A request as a proper caller sends it.
  transport::HttpRequest Request(const std::string& method,
                                 const std::string& target,
                                 size_t host = 0);
  transport::HttpRequest StreamRequest(const std::string& target,
                                       size_t host = 0);
  transport::HttpOutcome Ask(transport::HttpRequest request);
  transport::HttpResponse Answer(transport::HttpRequest request);

  std::unique_ptr<standins::PieceEndpointStandin> MakeEndpoint(
      const std::string& name,
      bool needs_inputs = false);

  transport::Reactor reactor;
  transport::TimerQueue timers{reactor};
  std::unique_ptr<transport::HttpClient> http =
      transport::Sound(transport::HttpClient::Create(reactor));
  std::unique_ptr<standins::RowStoreStandin> store = transport::Sound(
      standins::RowStoreStandin::Create(reactor, {"127.0.0.1", 0}));
  std::unique_ptr<standins::PieceEndpointStandin> desk = MakeEndpoint("desk-1");
  std::unique_ptr<standins::PieceEndpointStandin> other_desk =
      MakeEndpoint("desk-2");
  std::unique_ptr<standins::PieceEndpointStandin> engine =
      MakeEndpoint("llm-1", true);
  std::unique_ptr<standins::PieceEndpointStandin> other_engine =
      MakeEndpoint("llm-2", true);
  std::unique_ptr<standins::PieceEndpointStandin> maker =
      MakeEndpoint("maker-1");
  std::vector<std::unique_ptr<PlatformAdapter>> adapters;
  std::vector<std::unique_ptr<transport::ForwardShell>> shells;
  std::vector<declare::ForwardSettings> settings;

 private:
  base::SocketAddress FreeAddress();

  uint64_t last_request_ = 0;
};

}  // namespace bilberry::platform
