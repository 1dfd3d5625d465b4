#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/log_event.h"
#include "LibBase/platform.h"
#include "LibDeclare/configuration.h"
#include "LibNode/caller_answer.h"
#include "LibNode/peer_message.h"

// Actions that the EntryNode state machine requests from its shell.
namespace bilberry::node {

enum class ConnectionUse { kPooled, kFresh };

// Sends one attempt to an endpoint. Ends in exactly one EndpointAnswer or
// EndpointFailure unless it is cancelled.
struct SendToEndpoint {
  base::AttemptId attempt;
  base::SocketAddress address;
  std::string path;
  std::string body;
  declare::Delivery delivery = declare::Delivery::kWhole;
  ConnectionUse connection = ConnectionUse::kPooled;
  // The caller's key; sent only for at-most-once stages.
  std::optional<std::string> idempotency_key;
  // Bytes of the stream that the caller already has. A value above 0 requests
  // the rest of the stream.
  uint64_t resume_offset = 0;
};

// Abandons an attempt and closes its connection; no event follows for it.
struct CancelAttempt {
  base::AttemptId attempt;
};

// Closes the idle connections to this address, so that none is reused.
struct RetireConnections {
  base::SocketAddress address;
};

struct AnswerCaller {
  base::CallerId caller{};
  CallerAnswer answer;
};

// A part of a streamed answer; the first part begins the response.
struct StreamToCaller {
  base::CallerId caller{};
  std::string request_id;
  std::string bytes;
};

// Ends a stream with a marker that says whether it is complete.
struct EndStream {
  base::CallerId caller{};
  CallerAnswer answer;
};

// Ends in exactly one PlatformAnswered or PlatformFailed.
struct SendToPlatform {
  base::OperationId operation{};
  base::PlatformRequest request;
  std::chrono::milliseconds timeout{};
};

// Ends in exactly one PeerAnswered or PeerFailed.
struct SendToPeer {
  base::OperationId operation{};
  base::SocketAddress address;
  PeerMessage message;
  std::chrono::milliseconds timeout{};
};

struct AnswerPeer {
  base::OperationId exchange{};
  PeerMessage message;
};

struct WriteLog {
  base::LogEvent event;
};

// The shutdown is complete.
struct Exit {};

using Action = std::variant<SendToEndpoint,
                            CancelAttempt,
                            RetireConnections,
                            AnswerCaller,
                            StreamToCaller,
                            EndStream,
                            SendToPlatform,
                            SendToPeer,
                            AnswerPeer,
                            WriteLog,
                            Exit>;

using Actions = std::vector<Action>;

}  // namespace bilberry::node
