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
#include "LibForward/table_news.h"

// All that can happen to an entry host that forwards requests.
namespace bilberry::forward {

// A question of this host to a peer.
enum class AskId : uint64_t {};
// A peer's question to this host, as numbered by the shell.
enum class PeerExchangeId : uint64_t {};

// An answer of any kind, to a request, a call or an order, said something of
// the endpoint that gave it. Comes before the event of the answer itself.
struct EndpointNoticed {
  base::EndpointName endpoint;
  base::Incarnation incarnation{};  // As known when it was asked.
  EndpointNotice notice;
  base::TimePoint asked;  // When what it answers was sent.
};

struct CallerLeft {
  base::CallerId caller{};
};

// What an endpoint's answer begins with.
struct AnswerHead {
  int status = 0;
  base::HttpHeaders headers;  // To be passed on.
  std::string content_type;   // Empty if it told none.
  std::string echoed_request_id;
  bool said_not_run = false;
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
  FreeOrder order;
};

// A peer wants a job done here; answered by one AnswerPeer.
struct PeerJobAsked {
  PeerExchangeId exchange{};
  StageJob job;
};

// The peer has given the job up, or is gone.
struct PeerJobLeft {
  PeerExchangeId exchange{};
};

// A peer has no more use for these results.
struct PeerResultsRead {
  CellPool at;
  std::vector<StageResult> results;
};

struct PeerJobEnded {
  AskId ask{};
  JobOutcome outcome;
  base::Duration backlog{};  // What a new job would wait there.
};

struct PeerJobLost {
  AskId ask{};
  std::string detail;
};

// A peer has answered that it is there, or has not answered in time.
struct PeerAlive {
  base::HostName host;
};
struct PeerSilent {
  base::HostName host;
  std::string detail;
};

// A peer wants a permit of a limit that this host keeps; answered by one
// AnswerPermit.
struct PeerPermitAsked {
  PeerExchangeId exchange{};
  PermitQuestion question;
};

struct PermitAnswered {
  PermitAskId ask{};
  PermitAnswer answer;
};
struct PermitLost {
  PermitAskId ask{};
  std::string detail;
};

// A peer tells what it has heard of limits.
struct PeerToldLimits {
  std::vector<ToldLimit> limits;
};

// A peer tells what endpoints said in answers.
struct PeerToldNotices {
  ToldNotices notices;
};

// A peer asks what this host knows of the store; answered by one AnswerNews.
struct PeerNewsAsked {
  PeerExchangeId exchange{};
  NewsQuestion question;
};

struct NewsHeard {
  News news;
};
struct NewsFailed {
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
struct StopOrdered {};

using Event = std::variant<ForwardedRequest,
                           EndpointNoticed,
                           CallerLeft,
                           AttemptChunk,
                           AttemptAnswer,
                           AttemptFailure,
                           StageCallEnded,
                           ResultsFreed,
                           PeerJobAsked,
                           PeerJobLeft,
                           PeerResultsRead,
                           PeerJobEnded,
                           PeerJobLost,
                           PeerAlive,
                           PeerSilent,
                           PeerPermitAsked,
                           PermitAnswered,
                           PermitLost,
                           PeerToldLimits,
                           PeerToldNotices,
                           PeerNewsAsked,
                           NewsHeard,
                           NewsFailed,
                           TableListed,
                           TableChanged,
                           TableHistoryLost,
                           TableCallFailed,
                           OwnRowWritten,
                           OwnRowFailed,
                           TimerDue,
                           StopOrdered>;

}  // namespace bilberry::forward
