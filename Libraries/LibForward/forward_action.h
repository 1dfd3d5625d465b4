#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/log_event.h"
#include "LibForward/answer_timeouts.h"
#include "LibForward/forward_event.h"
#include "LibForward/local_answer_code.h"
#include "LibForward/own_row_fence.h"

// Output actions of an entry host that forwards requests.
namespace bilberry::forward {

// Sends a request to an endpoint. Results in one AttemptAnswer or
// AttemptFailure, unless it is cancelled.
struct SendAttempt {
  base::AttemptId attempt;
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // Of the endpoint.
  base::SocketAddress address;
  std::shared_ptr<const ForwardedRequest> request;
  declare::Delivery delivery = declare::Delivery::kWhole;
  // Whether the request may run twice. If not, it gets a new connection,
  // because a request is sent again when a kept-alive connection turns out to
  // be closed.
  declare::Repeatability repeatability = declare::Repeatability::kAtMostOnce;
  base::Duration left{};  // Until the caller's deadline.
  std::optional<base::TeamName> team;
  Urgency urgency = Urgency::kMost;
  std::vector<StageResult> inputs;
  // Resumes a stream after the event with this id.
  std::optional<std::string> resume_after;
};

// Has a peer carry a request, because this host can't reach the endpoints
// itself. Ends as SendAttempt does, and is cancelled likewise; a peer that
// declines counts as unreachable.
struct CarryRequest {
  base::AttemptId attempt;
  base::SocketAddress address;  // Of the peer.
  std::shared_ptr<const ForwardedRequest> request;
  declare::Delivery delivery = declare::Delivery::kWhole;
  declare::Repeatability repeatability = declare::Repeatability::kAtMostOnce;
  base::Duration left{};  // Until the caller's deadline.
};

struct CancelAttempt {
  base::AttemptId attempt;
};

// Prevents the open connections to this endpoint from being reused: one of them
// delivered an answer to a different request, and more may follow.
struct RetireConnections {
  base::SocketAddress address;
};

// Asks an endpoint whether it is alive. Results in one EndpointHealthChecked.
struct CheckEndpointHealth {
  ListedEndpoint endpoint;
  std::string path;  // Of the pool's health check.
};

// Tries a new connection to an endpoint. Results in one EndpointProbed.
struct ProbeEndpoint {
  ListedEndpoint endpoint;
  std::string path;  // Of the pool's health check.
};

// A final answer that this host itself gives. kAttemptFailed and kTimeout leave
// open whether the request ran; the other codes guarantee that it did not.
struct AnswerCaller {
  base::CallerId caller{};
  std::string request_id;
  LocalAnswerCode code = LocalAnswerCode::kBadRequest;
  std::optional<base::Duration> retry_after;
};

// Forwards an endpoint's complete answer.
struct ForwardAnswer {
  base::CallerId caller{};
  AnswerHead head;
  std::string body;
};

struct BeginStream {
  base::CallerId caller{};
  AnswerHead head;
};

struct StreamToCaller {
  base::CallerId caller{};
  std::string bytes;
};

enum class StreamOutcome { kWhole, kCut };

struct EndStream {
  base::CallerId caller{};
  StreamOutcome outcome = StreamOutcome::kWhole;
};

// Results in one StageCallEnded.
struct CallStage {
  StageCall call;
};

// Results in one ResultsFreed, or in no event if the request fails: the
// endpoint then drops the results when they expire.
struct FreeResults {
  FreeRequest free_request;
};

// Results in one PeerJobEnded or PeerJobLost, unless it is cancelled.
struct SendPeerJob {
  JobRequestId id{};
  base::SocketAddress address;
  StageJob job;
};

struct CancelPeerJob {
  JobRequestId id{};
};

struct AnswerPeerJob {
  PeerExchangeId exchange{};
  JobOutcome outcome;
  base::Duration backlog{};  // Queueing time of a new job here.
};

struct ReleasePeerResults {
  base::SocketAddress address;
  CellPool at;
  std::vector<StageResult> results;
};

// Results in one PeerProbeAnswered or PeerProbeFailed.
struct ProbePeer {
  base::HostName host;
  base::SocketAddress address;
  std::chrono::milliseconds timeout{0};
};

// Results in one PermitAnswered or PermitRequestFailed.
struct RequestPermit {
  PermitRequestId id{};
  base::SocketAddress address;
  PermitRequest request;
};

struct AnswerPermit {
  PeerExchangeId exchange{};
  PermitAnswer answer;
};

// Results in one PlacementAnswered or PlacementRequestFailed.
struct RequestPlacement {
  PlacementRequestId id{};
  base::SocketAddress address;
  PlacementRequest request;
};

struct AnswerPlacement {
  PeerExchangeId exchange{};
  PlacementAnswer answer;
};

// Sent without an answer.
struct SendPlacementReport {
  base::SocketAddress address;
  PlacementReport report;
};

// Sent without an answer.
struct SendLimitsToPeer {
  base::SocketAddress address;
  std::vector<EndpointLimitReport> limits;
};

// Sent without an answer.
struct SendNoticesToPeer {
  base::SocketAddress address;
  NoticeBatch notices;
};

// Asks a peer for its copy of the store's state. Results in one
// StoreSyncReceived or StoreSyncFailed of this kind.
struct RequestStoreSync {
  StoreSyncKind kind{};
  base::SocketAddress address;
  StoreSyncRequest request;
  AnswerTimeouts timeouts;
};

struct AnswerStoreSync {
  PeerExchangeId exchange{};
  StoreSyncResponse response;
};

// Reads a page of a table from `start_after` on; empty for the first page.
// Replaces this feed's call in flight, as FollowTable does.
struct ListTable {
  FeedKind feed{};
  std::string start_after;
  AnswerTimeouts timeouts;
};

// Long-polls for changes after `version`.
struct FollowTable {
  FeedKind feed{};
  uint64_t version = 0;
  std::chrono::milliseconds wait{0};
  AnswerTimeouts timeouts;
};

// Writes this host's row in the hosts' table, or removes it if the fence says
// that the host isn't listed, and writes the fence, whose version is the one
// that it replaces. Results in one OwnRowWritten, OwnRowConflict or
// OwnRowFailed.
struct WriteOwnRow {
  PeerHost host;
  OwnRowFence fence;
};

// Reads rows of the table of streams in the store: the one with this key, or
// all of the part. Results in one StreamRowsRead or StreamRowsFailed.
struct ReadStreamRows {
  StreamCallId id{};
  std::string part;
  std::optional<std::string> key;
};

// Writes and removes rows of one part of that table, all or none. Results in
// one StreamRowsWritten or StreamRowsFailed.
struct WriteStreamRows {
  StreamCallId id{};
  std::string part;
  std::vector<StreamRow> written;
  std::vector<std::string> removed;  // Keys.
};

// One field of a log record.
struct LogField {
  std::string_view name;
  std::string value;
};

struct WriteLog {
  base::LogEventId id{};
  std::string request_id;  // Empty if the record concerns no request.
  std::vector<LogField> fields;
};

// Applies changed limits on what callers may send.
struct ApplyCallerLimits {
  CallerLimits limits;
};

// Ends the process after a complete shutdown.
struct Exit {};

using Action = std::variant<SendAttempt,
                            CarryRequest,
                            ProbeEndpoint,
                            CancelAttempt,
                            RetireConnections,
                            CheckEndpointHealth,
                            AnswerCaller,
                            ForwardAnswer,
                            BeginStream,
                            StreamToCaller,
                            EndStream,
                            CallStage,
                            FreeResults,
                            SendPeerJob,
                            CancelPeerJob,
                            AnswerPeerJob,
                            ReleasePeerResults,
                            ProbePeer,
                            RequestPermit,
                            AnswerPermit,
                            RequestPlacement,
                            AnswerPlacement,
                            SendPlacementReport,
                            SendLimitsToPeer,
                            SendNoticesToPeer,
                            RequestStoreSync,
                            AnswerStoreSync,
                            ListTable,
                            FollowTable,
                            WriteOwnRow,
                            ReadStreamRows,
                            WriteStreamRows,
                            WriteLog,
                            ApplyCallerLimits,
                            Exit>;

using Actions = std::vector<Action>;

}  // namespace bilberry::forward
