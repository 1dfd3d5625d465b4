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

// A component that is run in each turn of the event loop, besides the handlers
// of descriptors.
class LoopParticipant {
 public:
  virtual ~LoopParticipant() = default;

  // Called once each turn of the loop.
  virtual void RunTurn(base::TimePoint now) = 0;
  // The time by which the loop must run a turn even if no descriptor is ready;
  // a time in the past means at once. Empty if only descriptors matter.
  virtual std::optional<base::TimePoint> NextTurn() const = 0;
};

// The event loop of a process, based on an ACE reactor.
class Reactor {
 public:
  Reactor();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // Monotonic time since the reactor was created.
  base::TimePoint Now() const;

  // Calls `handler` for the events in `mask`; replaces an earlier registration
  // of the descriptor.
  void Watch(int descriptor, ACE_Event_Handler& handler, ACE_Reactor_Mask mask);
  void Unwatch(int descriptor);

  // Participants must outlive the loop's turns.
  void Add(LoopParticipant& participant);
  void Remove(LoopParticipant& participant);

  // Runs one turn: waits at most `longest` for an event or a due participant,
  // then calls the handlers and all participants.
  void RunOnce(std::chrono::milliseconds longest);

 private:
  class Registration;

  base::Duration WaitFor(base::Duration longest) const;

  std::chrono::steady_clock::time_point origin_;
  // By descriptor. ACE's reactor holds pointers to them, so they are declared
  // before it and outlive it.
  std::map<int, std::unique_ptr<Registration>> registrations_;
  std::unique_ptr<ACE_Reactor> reactor_;
  std::vector<LoopParticipant*> participants_;
};

}  // namespace bilberry::transport
