#pragma once

#include <json/value.h>
#include <chrono>
#include <functional>
#include <string>

#include "LibBase/error.h"
#include "LibNode/peer_message.h"
#include "LibTransport/http_client.h"

namespace bilberry::transport {

// Calls JSON-RPC methods of entry hosts. Requests are built here, since the
// client headers of libjsonrpccpp 0.7 do not compile as C++17 or later.
class PeerClient {
 public:
  using MessageHandler =
      std::function<void(base::Result<node::PeerMessage> answer)>;
  using ValueHandler = std::function<void(base::Result<Json::Value> result)>;

  explicit PeerClient(HttpClient& http) : http_(http) {}

  void Send(const base::SocketAddress& address,
            const node::PeerMessage& message,
            std::chrono::milliseconds timeout,
            MessageHandler done);

  // Calls an operator's method. An empty token is not sent.
  void Call(const base::SocketAddress& address,
            const std::string& method,
            const Json::Value& parameters,
            const std::string& operator_token,
            std::chrono::milliseconds timeout,
            ValueHandler done);

 private:
  HttpClient& http_;
  uint64_t last_call_ = 0;
};

}  // namespace bilberry::transport
