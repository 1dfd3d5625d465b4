#include "LibTransport/reactor.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Time_Value.h>

#include <algorithm>

namespace bilberry::transport {

Reactor::Reactor()
    : origin_(std::chrono::steady_clock::now()),
      reactor_(std::make_unique<ACE_Reactor>(new ACE_Dev_Poll_Reactor, true)) {}

Reactor::~Reactor() = default;

base::TimePoint Reactor::Now() const {
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(
      std::chrono::steady_clock::now() - origin_));
}

void Reactor::Watch(int descriptor,
                    ACE_Event_Handler& handler,
                    ACE_Reactor_Mask mask) {
  // The epoll reactor adds to an earlier mask, so that is dropped first.
  Unwatch(descriptor);
  reactor_->register_handler(descriptor, &handler, mask);
}

void Reactor::Unwatch(int descriptor) {
  reactor_->remove_handler(descriptor, ACE_Event_Handler::ALL_EVENTS_MASK |
                                           ACE_Event_Handler::DONT_CALL);
}

void Reactor::Add(LoopParticipant& participant) {
  participants_.push_back(&participant);
}

void Reactor::Remove(LoopParticipant& participant) {
  std::erase(participants_, &participant);
}

base::Duration Reactor::WaitFor(base::Duration longest) const {
  const base::TimePoint now = Now();
  base::Duration wait = longest;
  for (const LoopParticipant* participant : participants_) {
    if (const auto next = participant->NextTurn())
      wait = std::min(wait, *next - now);
  }
  return std::max(wait, base::Duration(0));
}

void Reactor::RunOnce(std::chrono::milliseconds longest) {
  const base::Duration wait = WaitFor(longest);
  ACE_Time_Value timeout(0, static_cast<suseconds_t>(wait.count()));
  reactor_->handle_events(timeout);
  // A participant may remove itself or another while it runs.
  const std::vector<LoopParticipant*> present = participants_;
  for (LoopParticipant* participant : present) {
    if (std::ranges::find(participants_, participant) != participants_.end())
      participant->RunTurn(Now());
  }
}

}  // namespace bilberry::transport
