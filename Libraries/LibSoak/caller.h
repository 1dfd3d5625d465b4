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

// The keys that callers use.
struct CallerKeys {
  std::string lasting = "key-1";
  std::string changing = "key-c0";
  std::optional<std::string> withdrawn;  // The last one.
};

// Asks one host for one request after the other, over a connection that it
// keeps as long as the host does.
class Caller {
 public:
  Caller(transport::Reactor& reactor,
         InvariantChecker& book,
         EventTrail& trail,
         const CallerKeys& keys,
         std::string host,
         base::SocketAddress address,
         uint64_t seed);

  // After a pause.
  void Begin() { AskLater(); }
  // Once what is under way has ended.
  void Cease() { has_ceased_ = true; }

 private:
  void AskLater();
  void Ask();
  SentRequest Draw();
  void NoteAnswer(ConnectionAnswer answer);
  void GiveUp(uint64_t number);

  transport::Reactor& reactor_;
  transport::TimerQueue timers_;
  InvariantChecker& book_;
  EventTrail& trail_;
  const CallerKeys& keys_;
  std::string host_;
  base::SocketAddress address_;
  base::Random random_;
  std::string name_;
  uint64_t last_number_ = 0;
  std::string waiting_;  // The request's id.
  bool has_ceased_ = false;
  CallerConnection connection_;
};

}  // namespace bilberry::soak
