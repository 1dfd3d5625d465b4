#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::transport {

// What a loop turn serves besides descriptors.
class LoopParticipant {
 public:
  virtual ~LoopParticipant() = default;

  // Called once each turn of the loop.
  virtual void RunTurn(base::TimePoint now) = 0;
  // When a turn is needed though no descriptor is ready; the past means now.
  virtual std::optional<base::TimePoint> NextTurn() const = 0;
};

// The one event loop of a process, over an ACE reactor.
class Reactor {
 public:
  Reactor();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // The time by the monotonic clock, since the process began.
  base::TimePoint Now() const;

  // Has `handler` told of input and output as in `mask`; replaces an earlier
  // registration of the descriptor.
  void Watch(int descriptor, ACE_Event_Handler& handler, ACE_Reactor_Mask mask);
  void Unwatch(int descriptor);

  // Participants must outlive the loop's turns.
  void Add(LoopParticipant& participant);
  void Remove(LoopParticipant& participant);

  // One turn: waits at most `longest` for something to do, then does it.
  void RunOnce(std::chrono::milliseconds longest);

 private:
  class Registration;

  base::Duration WaitFor(base::Duration longest) const;

  std::chrono::steady_clock::time_point origin_;
  // By descriptor. ACE's reactor holds on to them, so that it goes first.
  std::map<int, std::unique_ptr<Registration>> registrations_;
  std::unique_ptr<ACE_Reactor> reactor_;
  std::vector<LoopParticipant*> participants_;
};

}  // namespace bilberry::transport
