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

// All that an entry host can do.
namespace bilberry::node {

enum class ConnectionUse { kPooled, kFresh };

// Sends one attempt; ends in one EndpointAnswer or EndpointFailure, unless it
// is cancelled.
struct SendToEndpoint {
  base::AttemptId attempt;
  base::SocketAddress address;
  std::string path;
  std::string body;
  declare::Delivery delivery = declare::Delivery::kWhole;
  ConnectionUse connection = ConnectionUse::kPooled;
  // The caller's, for stages that may not be repeated.
  std::optional<std::string> idempotency_key;
  // How much of a stream the caller has already; not 0 asks for the rest.
  uint64_t resume_offset = 0;
};

// Gives an attempt up and closes its connection; nothing more is heard of it.
struct CancelAttempt {
  base::AttemptId attempt;
};

// No idle connection to this peer may be used again.
struct RetireConnections {
  base::SocketAddress address;
};

struct AnswerCaller {
  base::CallerId caller{};
  CallerAnswer answer;
};

// A part of a streamed answer; the first one begins the answer.
struct StreamToCaller {
  base::CallerId caller{};
  std::string request_id;
  std::string bytes;
};

// Ends a stream with a mark that tells whether it is whole.
struct EndStream {
  base::CallerId caller{};
  CallerAnswer answer;
};

// Ends in one PlatformAnswered or PlatformFailed.
struct SendToPlatform {
  base::OperationId operation{};
  base::PlatformRequest request;
  std::chrono::milliseconds timeout{};
};

// Ends in one PeerAnswered or PeerFailed.
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
