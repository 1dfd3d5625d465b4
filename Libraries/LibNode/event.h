#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibNode/peer_message.h"

// All that can happen to an entry host.
namespace bilberry::node {

// A request as it came in; nothing of it has been checked.
struct CallerRequest {
  base::CallerId caller{};
  std::string pipeline;
  std::optional<std::string> team;
  std::optional<std::string> rank;
  std::optional<std::string> deadline_ms;
  std::optional<std::string> idempotency_key;
  std::string body;
};

// The caller has closed its connection before its answer.
struct CallerDisconnected {
  base::CallerId caller{};
};

// A part of a streamed answer, in order.
struct EndpointChunk {
  base::AttemptId attempt;
  std::string echoed_attempt;
  std::string bytes;
  // Where the answer goes on, when the rest of a stream was asked for.
  std::optional<uint64_t> resumed_from = std::nullopt;
};

// The end of an endpoint's answer, well framed (RFC 9112 section 8).
struct EndpointAnswer {
  base::AttemptId attempt;
  std::string echoed_attempt;
  int status = 0;
  bool reported_not_run = false;
  bool reported_leaving = false;
  // The endpoint wants nothing from this host for so long.
  std::optional<base::Duration> retry_after;
  std::optional<uint32_t> reported_load;
  std::optional<uint64_t> resumed_from;
  std::string body;  // Empty for a streamed answer.
};

enum class EndpointFailureKind {
  kUnreachable,  // No connection; surely nothing was sent.
  kBroken,       // The connection ended before the answer did.
};

enum class ConnectionAge { kFresh, kReused };

// The attempt's request goes out now, over a connection of this age.
struct EndpointSending {
  base::AttemptId attempt;
  ConnectionAge connection = ConnectionAge::kFresh;
};

struct EndpointFailure {
  base::AttemptId attempt;
  EndpointFailureKind kind = EndpointFailureKind::kBroken;
  ConnectionAge connection = ConnectionAge::kFresh;
  std::string detail;
};

struct PlatformAnswered {
  base::OperationId operation{};
  base::PlatformAnswer answer;
};

struct PlatformFailed {
  base::OperationId operation{};
  base::PlatformFailure failure = base::PlatformFailure::kUnknown;
};

// A peer's question, to be answered by one AnswerPeer.
struct PeerRequest {
  base::OperationId exchange{};
  PeerMessage message;
};

struct PeerAnswered {
  base::OperationId operation{};
  PeerMessage message;
};

struct PeerFailed {
  base::OperationId operation{};
};

// A peer sent what could not be read; it has been told so.
struct PeerMessageRefused {};

struct TimerDue {};

// Begins a graceful shutdown.
struct StopRequested {};

using Event = std::variant<CallerRequest,
                           CallerDisconnected,
                           EndpointSending,
                           EndpointChunk,
                           EndpointAnswer,
                           EndpointFailure,
                           PlatformAnswered,
                           PlatformFailed,
                           PeerRequest,
                           PeerAnswered,
                           PeerFailed,
                           PeerMessageRefused,
                           TimerDue,
                           StopRequested>;

}  // namespace bilberry::node
