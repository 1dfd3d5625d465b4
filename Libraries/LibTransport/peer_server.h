#pragma once

#include <functional>
#include <memory>
#include <string>

#include "LibBase/error.h"
#include "LibNode/node_status.h"
#include "LibNode/peer_message.h"
#include "LibReport/service_report.h"
#include "LibTransport/http_listener.h"

namespace bilberry::transport {

inline constexpr const char* kRpcPath = "/rpc";

// JSON-RPC server for peers and operators, over an HttpListener. Operators'
// methods require the operator token in a header.
class PeerServer {
 public:
  struct Handlers {
    // Called when a request without an operator token was refused.
    std::function<void()> refused;
    std::function<base::Result<node::PeerMessage>(node::PeerMessage)> peer;
    std::function<node::NodeStatus()> status;
    std::function<report::ServiceReport()> report;
  };

  static base::Result<std::unique_ptr<PeerServer>> Create(
      Reactor& reactor,
      const base::SocketAddress& address,
      std::string operator_token,
      MemoryBudget& budget,
      Handlers handlers);
  ~PeerServer();

 private:
  class Connector;
  class Methods;

  PeerServer();
  void HandleRequest(const IncomingRequest& request);

  std::string operator_token_;
  std::function<void()> refused_;
  std::unique_ptr<Connector> connector_;
  std::unique_ptr<Methods> methods_;
  std::unique_ptr<HttpListener> listener_;
};

}  // namespace bilberry::transport
