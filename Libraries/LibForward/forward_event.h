#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibForward/endpoint_notice.h"
#include "LibForward/feed_row.h"
#include "LibForward/forwarded_request.h"
#include "LibForward/permit.h"
#include "LibForward/stage_job.h"
#include "LibForward/store_sync_messages.h"

// All that can happen to an entry host that forwards requests.
namespace bilberry::forward {

// A question of this host to a peer.
enum class JobRequestId : uint64_t {};
// A peer's question to this host, as numbered by the shell.
enum class PeerExchangeId : uint64_t {};

// An answer of any kind, to a request, a call or an order, said something of
// the endpoint that gave it. Comes before the event of the answer itself.
struct EndpointNoticeReceived {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // As known when it was asked.
  EndpointNotice notice;
  base::TimePoint asked;  // When what it answers was sent.
};

struct CallerDisconnected {
  base::CallerId caller{};
};

// What an endpoint's answer begins with.
struct AnswerHead {
  int status = 0;
  base::HttpHeaders headers;  // To be passed on.
  std::string content_type;   // Empty if it told none.
  std::string echoed_request_id;
  bool reported_not_run = false;
  // Whether it bears the endpoint's own mark; without it the answer may be
  // anybody's.
  bool is_sealed = false;
  // Whether the body was encoded on the way, though nobody asked for it.
  bool is_encoded = false;
};

// A part of a streamed answer; the head comes with the first one.
struct AttemptChunk {
  base::AttemptId attempt;
  std::optional<AnswerHead> head;
  std::string bytes;
};

// The well-framed end of an answer. The body is empty if it came in chunks.
struct AttemptAnswer {
  base::AttemptId attempt;
  AnswerHead head;
  std::string body;
};

enum class AttemptFailureKind {
  kUnreachable,  // No connection; surely nothing was sent.
  kBroken,       // The connection ended before the answer did.
};

struct AttemptFailure {
  base::AttemptId attempt;
  AttemptFailureKind kind = AttemptFailureKind::kBroken;
  std::string detail;
};

struct StageCallEnded {
  StageCallId call{};
  StageCallOutcome outcome;
};

struct ResultsFreed {
  FreeRequest order;
};

// A peer wants a job done here; answered by one AnswerPeerJob.
struct PeerJobRequested {
  PeerExchangeId exchange{};
  StageJob job;
};

// The peer has given the job up, or is gone.
struct PeerJobCancelled {
  PeerExchangeId exchange{};
};

// A peer has no more use for these results.
struct PeerResultsReleased {
  CellPool at;
  std::vector<StageResult> results;
};

struct PeerJobEnded {
  JobRequestId ask{};
  JobOutcome outcome;
  base::Duration backlog{};  // What a new job would wait there.
};

struct PeerJobLost {
  JobRequestId ask{};
  std::string detail;
};

// A peer has answered that it is there, or has not answered in time.
struct PeerProbeAnswered {
  base::HostName host;
};
struct PeerProbeFailed {
  base::HostName host;
  std::string detail;
};

// A peer wants a permit of a limit that this host keeps; answered by one
// AnswerPermit.
struct PeerPermitRequested {
  PeerExchangeId exchange{};
  PermitRequest question;
};

struct PermitAnswered {
  PermitRequestId ask{};
  PermitAnswer answer;
};
struct PermitRequestFailed {
  PermitRequestId ask{};
  std::string detail;
};

// A peer tells what it has heard of limits.
struct PeerLimitsReceived {
  std::vector<EndpointLimitReport> limits;
};

// A peer tells what endpoints said in answers.
struct PeerNoticesReceived {
  NoticeBatch notices;
};

// A peer asks what this host knows of the store; answered by one
// AnswerStoreSync.
struct PeerStoreSyncRequested {
  PeerExchangeId exchange{};
  StoreSyncRequest question;
};

struct StoreSyncReceived {
  StoreSyncResponse news;
};
struct StoreSyncFailed {
  std::string detail;
};

// One page of a table, as asked for.
struct TableListed {
  FeedKind feed{};
  std::vector<FeedRow> rows;
  bool is_truncated = false;
  uint64_t version = 0;
};

// The changes after the version that was asked for.
struct TableChanged {
  FeedKind feed{};
  std::vector<FeedRow> rows;
  uint64_t version = 0;
};

// The store no longer knows what has changed since the version asked for.
struct TableHistoryLost {
  FeedKind feed{};
};

struct TableCallFailed {
  FeedKind feed{};
  std::string detail;
};

struct OwnRowWritten {};
struct OwnRowFailed {
  std::string detail;
};

struct TimerDue {};
// Begins a graceful shutdown.
struct StopRequested {};

using Event = std::variant<ForwardedRequest,
                           EndpointNoticeReceived,
                           CallerDisconnected,
                           AttemptChunk,
                           AttemptAnswer,
                           AttemptFailure,
                           StageCallEnded,
                           ResultsFreed,
                           PeerJobRequested,
                           PeerJobCancelled,
                           PeerResultsReleased,
                           PeerJobEnded,
                           PeerJobLost,
                           PeerProbeAnswered,
                           PeerProbeFailed,
                           PeerPermitRequested,
                           PermitAnswered,
                           PermitRequestFailed,
                           PeerLimitsReceived,
                           PeerNoticesReceived,
                           PeerStoreSyncRequested,
                           StoreSyncReceived,
                           StoreSyncFailed,
                           TableListed,
                           TableChanged,
                           TableHistoryLost,
                           TableCallFailed,
                           OwnRowWritten,
                           OwnRowFailed,
                           TimerDue,
                           StopRequested>;

}  // namespace bilberry::forward
