#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibNode/peer_message.h"

// Events that drive the EntryNode state machine.
namespace bilberry::node {

// A request as received, before any validation.
struct CallerRequest {
  base::CallerId caller{};
  std::string pipeline;
  std::optional<std::string> team;
  std::optional<std::string> rank;
  std::optional<std::string> deadline_ms;
  std::optional<std::string> idempotency_key;
  std::string body;
};

// The caller closed its connection before the answer.
struct CallerDisconnected {
  base::CallerId caller{};
};

// A part of a streamed answer; parts arrive in order.
struct EndpointChunk {
  base::AttemptId attempt;
  std::string echoed_attempt;
  std::string bytes;
  // Byte offset at which the answer continues, if the rest of a stream was
  // requested.
  std::optional<uint64_t> resumed_from = std::nullopt;
};

// The complete, correctly framed answer of an endpoint (RFC 9112 section 8).
struct EndpointAnswer {
  base::AttemptId attempt;
  std::string echoed_attempt;
  int status = 0;
  bool reported_not_run = false;
  bool reported_leaving = false;
  // The endpoint asks this host to send no requests for this long.
  std::optional<base::Duration> retry_after;
  std::optional<uint32_t> reported_load;
  std::optional<uint64_t> resumed_from;
  std::string body;  // Empty for a streamed answer.
};

enum class EndpointFailureKind {
  kUnreachable,  // No connection; certainly nothing was sent.
  kBroken,       // The connection ended before the answer did.
};

enum class ConnectionAge { kFresh, kReused };

// The attempt's request is being sent over a connection of this kind.
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

// A peer's request; must be answered by one AnswerPeer.
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

// The transport has refused a message without an operator token, for example a
// malformed one.
struct PeerMessageRefused {};

struct TimerDue {};

// Requests a graceful shutdown.
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
