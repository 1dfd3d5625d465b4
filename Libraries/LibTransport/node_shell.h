#pragma once

#include <memory>
#include <optional>
#include <unordered_map>

#include "LibBase/error.h"
#include "LibNode/entry_node.h"
#include "LibTransport/http_client.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/memory_budget.h"
#include "LibTransport/peer_client.h"
#include "LibTransport/peer_server.h"
#include "LibTransport/platform_client.h"
#include "LibTransport/reactor.h"

namespace bilberry::transport {

// Connects one EntryNode to the network: turns network input into events for
// the node, and carries out the actions that the node returns. Makes no
// decisions itself.
class NodeShell final : private LoopParticipant {
 public:
  static base::Result<std::unique_ptr<NodeShell>> Create(
      Reactor& reactor,
      node::NodeOptions options);
  ~NodeShell() override;

  void RequestStop();

  // Whether the node has ended its graceful shutdown and all answers have been
  // sent.
  bool has_finished() const;

 private:
  NodeShell(Reactor& reactor, node::NodeOptions options);

  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

  report::ServiceReport Report() const;
  void HandleRequest(IncomingRequest request);
  void HandlePipelineRequest(IncomingRequest request);
  // Accounts for the body of a run until its caller has the answer.
  void KeepBody(base::CallerId caller,
                const std::string& body,
                std::shared_ptr<MemoryReservation> memory);
  base::Result<node::PeerMessage> HandlePeerMessage(node::PeerMessage message);

  void HandleEvent(node::Event event);
  void Perform(node::Action action);
  void Execute(node::SendToEndpoint action);
  void Execute(const node::CancelAttempt& action);
  void Execute(const node::RetireConnections& action);
  void Execute(const node::AnswerCaller& action);
  void Execute(const node::StreamToCaller& action);
  void Execute(const node::EndStream& action);
  void Execute(node::SendToPlatform action);
  void Execute(const node::SendToPeer& action);
  void Execute(node::AnswerPeer action);
  void Execute(const node::WriteLog& action);
  void Execute(const node::Exit& action);

  Reactor& reactor_;
  declare::HostSettings settings_;
  // Outlives everything that holds bodies.
  MemoryBudget budget_;
  node::EntryNode node_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<PeerClient> peers_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unordered_map<uint64_t, HttpTransferId>
      transfers_;  // By attempt number.
  std::unordered_map<base::CallerId, bool> streams_;
  // Accounts for the bodies of callers that have no answer yet.
  std::unordered_map<base::CallerId, std::shared_ptr<MemoryReservation>>
      bodies_;
  // The node's answer to the peer message that is being handled.
  std::optional<node::PeerMessage> peer_answer_;
  uint64_t last_exchange_ = 0;
  bool has_exited_ = false;
};

}  // namespace bilberry::transport
