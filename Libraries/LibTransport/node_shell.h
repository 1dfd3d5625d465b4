#pragma once

#include <memory>
#include <optional>
#include <unordered_map>

#include "LibBase/error.h"
#include "LibNode/entry_node.h"
#include "LibTransport/http_client.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/peer_client.h"
#include "LibTransport/peer_server.h"
#include "LibTransport/platform_client.h"
#include "LibTransport/reactor.h"

namespace bilberry::transport {

// Connects one EntryNode to the network: turns input into events, and actions
// into output. It decides nothing.
class NodeShell final : private LoopParticipant {
 public:
  static base::Result<std::unique_ptr<NodeShell>> Create(
      Reactor& reactor,
      node::NodeOptions options);
  ~NodeShell() override;

  void RequestStop();

  // The node has ended its graceful shutdown, and its answers are out.
  bool has_finished() const;

 private:
  NodeShell(Reactor& reactor, node::NodeOptions options);

  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

  report::ServiceReport Report() const;
  void HandleRequest(IncomingRequest request);
  void HandlePipelineRequest(IncomingRequest request);
  base::Result<node::PeerMessage> HandlePeerMessage(node::PeerMessage message);

  void Feed(node::Event event);
  void Perform(node::Action action);
  void Do(node::SendToEndpoint action);
  void Do(const node::CancelAttempt& action);
  void Do(const node::RetireConnections& action);
  void Do(const node::AnswerCaller& action);
  void Do(const node::StreamToCaller& action);
  void Do(const node::EndStream& action);
  void Do(node::SendToPlatform action);
  void Do(const node::SendToPeer& action);
  void Do(node::AnswerPeer action);
  void Do(const node::WriteLog& action);
  void Do(const node::Exit& action);

  Reactor& reactor_;
  declare::HostSettings settings_;
  node::EntryNode node_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<PeerClient> peers_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unordered_map<uint64_t, HttpTransferId>
      transfers_;  // By attempt number.
  std::unordered_map<base::CallerId, bool> streams_;
  // The answer to the peer's question that is being handled.
  std::optional<node::PeerMessage> peer_answer_;
  uint64_t last_exchange_ = 0;
  bool has_exited_ = false;
};

}  // namespace bilberry::transport
