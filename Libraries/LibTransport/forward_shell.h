#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "LibBase/error.h"
#include "LibDeclare/forward_settings.h"
#include "LibForward/forward_node.h"
#include "LibTransport/forward_adapter.h"
#include "LibTransport/forward_metrics.h"
#include "LibTransport/http_client.h"
#include "LibTransport/http_listener.h"
#include "LibTransport/json_log.h"
#include "LibTransport/reactor.h"

namespace bilberry::transport {

struct ForwardShellOptions {
  declare::ForwardSettings settings;
  base::Incarnation incarnation{};
  uint64_t seed = 0;
  bool shares_calls = true;
  int log_descriptor = 1;  // Standard output.
};

// Connects one ForwardNode to the network, in the words of an adapter: turns
// input into events, and actions into output. It decides nothing.
class ForwardShell final : private LoopParticipant {
 public:
  // `adapter` must outlive the shell.
  static base::Result<std::unique_ptr<ForwardShell>> Create(
      Reactor& reactor,
      ForwardAdapter& adapter,
      const ForwardShellOptions& options);
  ~ForwardShell() override;

  void RequestStop();
  // Takes on what can change while the host runs; the rest is logged as waiting
  // for a restart.
  void ApplySettings(const declare::ForwardSettings& settings);
  // The settings could not be read again; those in force stay.
  void ReportInvalidSettings(std::string reason);
  // The node has ended its graceful shutdown, and its answers are out.
  bool has_finished() const;
  bool is_ready() const { return node_.is_ready(); }

 private:
  // An attempt on its way.
  struct Attempt {
    base::EndpointName endpoint;
    base::Incarnation incarnation{};
    base::TimePoint sent;
    HttpTransferId transfer{};
    bool has_head = false;
    std::string error_body;  // Of a streamed answer that is no success.
  };

  ForwardShell(Reactor& reactor,
               ForwardAdapter& adapter,
               const ForwardShellOptions& options);

  base::Result<void> Listen();
  void RunTurn(base::TimePoint now) override;
  std::optional<base::TimePoint> NextTurn() const override;

  void HandleCaller(IncomingRequest request);
  void HandleCallerLeft(ExchangeId exchange);
  void HandleReadiness(const IncomingRequest& request);
  void HandlePeer(const IncomingRequest& request);
  void AnswerMetrics(ExchangeId exchange);
  void NoteStoreCall(std::string_view call, const HttpOutcome& outcome);
  void CallStore(forward::FeedKind feed,
                 HttpRequest request,
                 HttpClient::DoneHandler done);
  // Hands on what an answer to what was sent at `asked` says of the endpoint
  // that gave it.
  void FeedNotice(const base::EndpointName& endpoint,
                  base::Incarnation incarnation,
                  base::TimePoint asked,
                  const HttpResponse& response);
  void FeedNotice(const base::EndpointName& endpoint,
                  base::Incarnation incarnation,
                  base::TimePoint asked,
                  const forward::EndpointNotice& notice);
  void HandleAttemptChunk(const base::AttemptId& attempt,
                          const HttpResponse& head,
                          std::string bytes);
  // Ends an attempt whose answer can't be one.
  void BreakAttempt(const base::AttemptId& attempt, std::string detail);
  void HandleAttemptDone(const base::AttemptId& attempt, HttpOutcome outcome);
  void EndCaller(ExchangeId exchange);

  void Feed(forward::Event event);
  void Do(const forward::SendAttempt& action);
  void Do(const forward::CancelAttempt& action);
  void Do(const forward::RetireConnections& action);
  void Do(const forward::AnswerCaller& action);
  void Do(const forward::ForwardAnswer& action);
  void Do(const forward::BeginStream& action);
  void Do(const forward::StreamToCaller& action);
  void Do(const forward::EndStream& action);
  void Do(const forward::CallStage& action);
  void Do(const forward::FreeResults& action);
  void Do(const forward::SendPeerJob& action);
  void Do(const forward::CancelPeerJob& action);
  void Do(const forward::AnswerPeerJob& action);
  void Do(const forward::ReleasePeerResults& action);
  void Do(const forward::ProbePeer& action);
  void Do(const forward::RequestPermit& action);
  void Do(const forward::AnswerPermit& action);
  void Tell(HttpRequest request);
  void Do(const forward::SendLimitsToPeer& action);
  void Do(const forward::SendNoticesToPeer& action);
  void Do(const forward::RequestStoreSync& action);
  void Do(const forward::AnswerStoreSync& action);
  void Do(const forward::ListTable& action);
  void Do(const forward::FollowTable& action);
  void Do(const forward::WriteOwnRow& action);
  void Do(const forward::RemoveOwnRow& action);
  void Do(const forward::WriteLog& action);
  void Do(const forward::ApplyCallerLimits& action);
  void Do(const forward::Exit& action);

  void AddConnectionHeader(HttpHeaders& headers) const;

  Reactor& reactor_;
  ForwardAdapter& adapter_;
  declare::ForwardSettings settings_;
  forward::ForwardNode node_;
  JsonLog log_;
  ForwardMetrics metrics_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<HttpListener> readiness_;
  std::unique_ptr<HttpListener> peers_;
  std::unordered_map<uint64_t, Attempt> attempts_;  // By number.
  std::unordered_map<forward::JobRequestId, HttpTransferId> asks_;
  // The call of each feed that is under way.
  std::map<forward::FeedKind, HttpTransferId> feed_calls_;
  // Callers whose streams have begun.
  std::unordered_map<base::CallerId, bool> streams_;
  // Callers that are to be cut off in the next turn.
  std::vector<ExchangeId> slow_callers_;
  bool has_exited_ = false;
  base::TimePoint exited_at_;
};

}  // namespace bilberry::transport
