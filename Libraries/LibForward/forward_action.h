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
#include "LibForward/forward_event.h"
#include "LibForward/local_answer_code.h"

// All that an entry host that forwards requests can do.
namespace bilberry::forward {

// Passes a request on to an endpoint. Ends in one AttemptAnswer or
// AttemptFailure, unless it is cancelled.
struct SendAttempt {
  base::AttemptId attempt;
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // Of the endpoint.
  base::SocketAddress address;
  std::shared_ptr<const ForwardedRequest> request;
  declare::Delivery delivery = declare::Delivery::kWhole;
  // Whether it may run twice; else it gets a connection of its own, since a
  // request is sent again when a kept connection turns out to be closed.
  declare::Repeatability repeatability = declare::Repeatability::kAtMostOnce;
  base::Duration left{};  // Until the caller's deadline.
  std::optional<base::TeamName> team;
  Urgency urgency = Urgency::kMost;
  std::vector<StageResult> inputs;
  // Goes on with a stream behind this event.
  std::optional<std::string> resume_after;
};

struct CancelAttempt {
  base::AttemptId attempt;
};

// Keeps the open connections to this endpoint from being used again: one of
// them gave an answer to something else, and more may follow.
struct RetireConnections {
  base::SocketAddress address;
};

// The final answer of this host itself. kAttemptFailed and kTimeout say nothing
// of whether the request ran; the others promise that it did not.
struct AnswerCaller {
  base::CallerId caller{};
  std::string request_id;
  LocalAnswerCode code = LocalAnswerCode::kBadRequest;
  std::optional<base::Duration> retry_after;
};

// An endpoint's whole answer.
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

// Ends in one StageCallEnded.
struct CallStage {
  StageCall call;
};

// Ends in one ResultsFreed, or in nothing: the endpoint then drops them at the
// end of their life.
struct FreeResults {
  FreeRequest order;
};

// Ends in one PeerJobEnded or PeerJobLost, unless it is cancelled.
struct SendPeerJob {
  JobRequestId ask{};
  base::SocketAddress address;
  StageJob job;
};

struct CancelPeerJob {
  JobRequestId ask{};
};

struct AnswerPeerJob {
  PeerExchangeId exchange{};
  JobOutcome outcome;
  base::Duration backlog{};  // What a new job would wait here.
};

struct ReleasePeerResults {
  base::SocketAddress address;
  CellPool at;
  std::vector<StageResult> results;
};

// Ends in one PeerProbeAnswered or PeerProbeFailed.
struct ProbePeer {
  base::HostName host;
  base::SocketAddress address;
  std::chrono::milliseconds timeout{0};
};

// Ends in one PermitAnswered or PermitRequestFailed.
struct RequestPermit {
  PermitRequestId ask{};
  base::SocketAddress address;
  PermitRequest question;
};

struct AnswerPermit {
  PeerExchangeId exchange{};
  PermitAnswer answer;
};

// Nothing comes back.
struct SendLimitsToPeer {
  base::SocketAddress address;
  std::vector<EndpointLimitReport> limits;
};

// Nothing comes back.
struct SendNoticesToPeer {
  base::SocketAddress address;
  NoticeBatch notices;
};

// Asks a peer for what it knows of the store. Ends in one StoreSyncReceived or
// StoreSyncFailed.
struct RequestStoreSync {
  base::SocketAddress address;
  StoreSyncRequest question;
};

struct AnswerStoreSync {
  PeerExchangeId exchange{};
  StoreSyncResponse news;
};

// Reads a table from `start_after` on; empty for its beginning. Replaces the
// call of this feed that is under way, as FollowTable does.
struct ListTable {
  FeedKind feed{};
  std::string start_after;
};

// Waits for changes after `version`.
struct FollowTable {
  FeedKind feed{};
  uint64_t version = 0;
  std::chrono::milliseconds wait{0};
};

struct WriteOwnRow {
  PeerHost host;
};
struct RemoveOwnRow {
  base::HostName name;
};

// One fact of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

struct WriteLog {
  base::LogEventId id{};
  std::string request_id;  // Empty when it concerns no request.
  std::vector<LogField> facts;
};

// What callers may send has changed.
struct ApplyCallerLimits {
  CallerLimits limits;
};

// The shutdown is complete.
struct Exit {};

using Action = std::variant<SendAttempt,
                            CancelAttempt,
                            RetireConnections,
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
                            SendLimitsToPeer,
                            SendNoticesToPeer,
                            RequestStoreSync,
                            AnswerStoreSync,
                            ListTable,
                            FollowTable,
                            WriteOwnRow,
                            RemoveOwnRow,
                            WriteLog,
                            ApplyCallerLimits,
                            Exit>;

using Actions = std::vector<Action>;

}  // namespace bilberry::forward
