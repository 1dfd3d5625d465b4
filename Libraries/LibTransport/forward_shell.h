#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/error.h"
#include "LibDeclare/forward_settings.h"
#include "LibForward/forward_node.h"
#include "LibTransport/forward_adapter.h"
#include "LibTransport/forward_metrics.h"
#include "LibTransport/http_client.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/json_log.h"
#include "LibTransport/memory_budget.h"
#include "LibTransport/memory_reservation.h"
#include "LibTransport/reactor.h"

namespace bilberry::transport {

struct ForwardShellOptions {
  declare::ForwardSettings settings;
  base::Incarnation incarnation{};
  uint64_t seed = 0;
  bool shares_calls = true;
  int log_descriptor = 1;  // 1 is standard output.
};

// Connects one ForwardNode to the network: turns network input into events for
// the node, and carries out the actions that the node returns. Makes no
// decisions itself; an adapter supplies the platform's wire format.
class ForwardShell final : private LoopParticipant {
 public:
  // `adapter` must outlive the shell.
  static base::Result<std::unique_ptr<ForwardShell>> Create(
      Reactor& reactor,
      ForwardAdapter& adapter,
      const ForwardShellOptions& options);
  ~ForwardShell() override;

  void RequestStop();
  // Applies the new address of the store, the one setting that can change at
  // run time. Logs whether other settings differ, which need a restart.
  void ApplySettings(const declare::ForwardSettings& settings);
  // Logs that the settings could not be read again; the settings in force stay.
  void ReportInvalidSettings(std::string reason);
  // Whether the node has ended its graceful shutdown and all answers have been
  // sent, or kFlushTime has passed since.
  bool has_finished() const;
  bool is_ready() const { return node_.is_ready(); }

 private:
  // An attempt that has been sent to an endpoint and has no complete answer
  // yet.
  struct Attempt {
    base::EndpointName endpoint;
    base::Incarnation incarnation{};
    base::TimePoint sent;
    HttpTransferId transfer{};
    bool has_head = false;
    std::string error_body;  // Of a streamed answer with an error status.
    // For what is kept of a streamed answer.
    std::unique_ptr<MemoryReservation> memory;
    bool is_held = false;     // Because the caller's queue is full.
    bool is_carried = false;  // By a peer; there is no endpoint then.
  };

  ForwardShell(Reactor& reactor,
               ForwardAdapter& adapter,
               const ForwardShellOptions& options);

  base::Result<void> Listen();
  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

  void HandleCaller(IncomingRequest request);
  void HandleCallerDisconnect(ExchangeId exchange);
  void HandleReadiness(const IncomingRequest& request);
  void HandlePeer(IncomingRequest request);
  // A request that a peer passes on.
  void HandleCarried(IncomingRequest request);
  // The listener at which the caller, or the peer that passed its request on,
  // waits for the answer.
  HttpListener& ListenerOf(base::CallerId caller);
  void AnswerMetrics(ExchangeId exchange);
  void RecordStoreCall(std::string_view call, const HttpOutcome& outcome);
  void RecordTableBytes(std::string_view call, const HttpOutcome& outcome);
  void CallStore(forward::FeedKind feed,
                 HttpRequest request,
                 HttpClient::DoneHandler done);
  // Makes a call that answers no feed, and passes the event of its answer to
  // the node. `call` names it in metrics.
  void CallStoreOnce(std::string_view call,
                     HttpRequest request,
                     std::function<forward::Event(const HttpOutcome&)> decode);
  // Passes what an answer says about the endpoint's own state to the node.
  // `sent_at` is the time at which the request was sent.
  void HandleNotice(const base::EndpointName& endpoint,
                    base::Incarnation incarnation,
                    base::TimePoint sent_at,
                    const HttpResponse& response);
  void HandleNotice(const base::EndpointName& endpoint,
                    base::Incarnation incarnation,
                    base::TimePoint sent_at,
                    const forward::EndpointNotice& notice);
  void HandleAttemptChunk(const base::AttemptId& attempt,
                          const HttpResponse& head,
                          std::string bytes);
  // Cancels an attempt whose answer is malformed, and reports its failure to
  // the node.
  void FailAttempt(const base::AttemptId& attempt, std::string detail);
  void HandleAttemptDone(const base::AttemptId& attempt, HttpOutcome outcome);
  void HandleCarriedDone(const base::AttemptId& id,
                         const Attempt& attempt,
                         HttpResponse response);
  // Sends the request of an attempt that is in `attempts_`.
  void Send(const base::AttemptId& id,
            declare::Delivery delivery,
            HttpRequest request);
  void DisconnectCaller(ExchangeId exchange);
  // Accounts for what is kept of the attempt's stream, and reads no more of it
  // while its caller's queue is full.
  void BoundStream(const base::AttemptId& attempt);
  // Goes on reading the streams whose callers have taken enough.
  void ResumeStreams();
  // Fails the attempts that were evicted from the memory budget.
  void FailEvicted();

  void HandleEvent(forward::Event event);
  void Execute(const forward::SendAttempt& action);
  void Execute(const forward::CarryRequest& action);
  void Execute(const forward::ProbeEndpoint& action);
  void Execute(const forward::CancelAttempt& action);
  void Execute(const forward::RetireConnections& action);
  void Execute(const forward::CheckEndpointHealth& action);
  void Execute(const forward::AnswerCaller& action);
  void Execute(const forward::ForwardAnswer& action);
  void Execute(const forward::BeginStream& action);
  void Execute(const forward::StreamToCaller& action);
  void Execute(const forward::EndStream& action);
  void Execute(const forward::CallStage& action);
  void Execute(const forward::FreeResults& action);
  void Execute(const forward::SendPeerJob& action);
  void Execute(const forward::CancelPeerJob& action);
  void Execute(const forward::AnswerPeerJob& action);
  void Execute(const forward::ReleasePeerResults& action);
  void Execute(const forward::ProbePeer& action);
  void Execute(const forward::RequestPermit& action);
  void Execute(const forward::AnswerPermit& action);
  void Execute(const forward::RequestPlacement& action);
  void Execute(const forward::AnswerPlacement& action);
  void Execute(const forward::SendPlacementReport& action);
  void SendNotification(HttpRequest request);
  void Execute(const forward::SendLimitsToPeer& action);
  void Execute(const forward::SendNoticesToPeer& action);
  void Execute(const forward::RequestStoreSync& action);
  void Execute(const forward::AnswerStoreSync& action);
  void Execute(const forward::ListTable& action);
  void Execute(const forward::FollowTable& action);
  void Execute(const forward::WriteOwnRow& action);
  void Execute(const forward::ReadStreamRows& action);
  void Execute(const forward::WriteStreamRows& action);
  void Execute(const forward::WriteLog& action);
  void Execute(const forward::ApplyCallerLimits& action);
  void Execute(const forward::Exit& action);

  void AddConnectionHeader(HttpHeaders& headers) const;

  Reactor& reactor_;
  ForwardAdapter& adapter_;
  declare::ForwardSettings settings_;
  // Outlives everything that holds bodies.
  MemoryBudget budget_;
  forward::ForwardNode node_;
  JsonLog log_;
  ForwardMetrics metrics_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<HttpListener> readiness_;
  std::unique_ptr<HttpListener> peers_;
  std::unordered_map<uint64_t, Attempt> attempts_;  // By attempt number.
  std::unordered_map<forward::JobRequestId, HttpTransferId> peer_jobs_;
  // The store call in flight for each feed.
  std::map<forward::FeedKind, HttpTransferId> feed_calls_;
  // Callers whose streamed answer has begun.
  std::unordered_map<base::CallerId, bool> streams_;
  // Attempts whose streams are held back for their callers.
  std::vector<base::AttemptId> held_;
  // Attempts that are to fail in this turn, because the budget has no room for
  // what is kept of their streams.
  std::vector<base::AttemptId> evicted_;
  bool has_exited_ = false;
  base::TimePoint exited_at_;
};

}  // namespace bilberry::transport
