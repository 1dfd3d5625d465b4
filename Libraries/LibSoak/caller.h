#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "LibBase/random.h"
#include "LibSoak/caller_connection.h"
#include "LibSoak/event_trail.h"
#include "LibSoak/invariant_checker.h"
#include "LibTransport/timer_queue.h"

namespace bilberry::soak {

// API keys that callers send.
struct CallerKeys {
  std::string lasting = "key-1";
  std::string changing = "key-c0";
  std::optional<std::string> withdrawn;  // The key that was withdrawn last.
};

// A request that several callers send, again and again, and that crashes the
// endpoints that run it.
struct DeadlyRequest {
  RequestKind kind{};
  std::string target;
};

// Sends requests to one host one after the other, over a connection that is
// kept until the host closes it.
class Caller {
 public:
  Caller(transport::Reactor& reactor,
         InvariantChecker& checker,
         EventTrail& trail,
         const CallerKeys& keys,
         const std::optional<DeadlyRequest>& deadly,
         std::string host,
         base::SocketAddress address,
         uint64_t seed);

  // Sends the first request after a random pause.
  void Begin() { SendLater(); }
  // Sends no further request; the current one still completes.
  void StopSending() { is_stopping_ = true; }

 private:
  void SendLater();
  void Send();
  // Sends a request with a malformed head, whose body is the text of another
  // request. The checker isn't told of them: neither may run.
  void SendMalformed();
  void Transmit(const std::string& text);
  SentRequest Draw();
  void NoteAnswer(ConnectionAnswer answer);
  void GiveUp(uint64_t number);

  transport::Reactor& reactor_;
  transport::TimerQueue timers_;
  InvariantChecker& checker_;
  EventTrail& trail_;
  const CallerKeys& keys_;
  const std::optional<DeadlyRequest>& deadly_;
  std::string host_;
  base::SocketAddress address_;
  base::Random random_;
  std::string name_;
  uint64_t last_number_ = 0;
  std::string waiting_;        // Id of the unanswered request.
  bool is_malformed_ = false;  // Whether the unanswered request is malformed.
  bool is_stopping_ = false;
  CallerConnection connection_;
};

}  // namespace bilberry::soak
