#pragma once

#include <chrono>
#include <functional>
#include <variant>

#include "LibBase/platform.h"
#include "LibTransport/http_client.h"

namespace bilberry::transport {

// HTTP client for the platform's table, object store and host list.
class PlatformClient {
 public:
  using Outcome = std::variant<base::PlatformAnswer, base::PlatformFailure>;
  using DoneHandler = std::function<void(Outcome outcome)>;

  PlatformClient(HttpClient& http, base::SocketAddress address)
      : http_(http), address_(std::move(address)) {}

  void Send(base::PlatformRequest request,
            std::chrono::milliseconds timeout,
            DoneHandler done);

 private:
  HttpClient& http_;
  base::SocketAddress address_;
};

}  // namespace bilberry::transport
