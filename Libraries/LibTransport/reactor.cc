#include "LibTransport/reactor.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Time_Value.h>

#include <algorithm>

namespace bilberry::transport {

namespace {

constexpr ACE_Reactor_Mask kAllWithoutCall =
    ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL;

}  // namespace

// The handler registered with ACE in place of the real one. If a descriptor is
// closed before it is unregistered, ACE fails to remove it and keeps the
// pointer to the registered handler, which must therefore outlive the real
// handler.
class Reactor::Registration final : public ACE_Event_Handler {
 public:
  int handle_input(ACE_HANDLE descriptor) override {
    return handler == nullptr ? 0 : handler->handle_input(descriptor);
  }
  int handle_output(ACE_HANDLE descriptor) override {
    return handler == nullptr ? 0 : handler->handle_output(descriptor);
  }

  ACE_Event_Handler* handler = nullptr;  // Null while unregistered.
  // ACE failed to remove it, because its descriptor had been closed.
  bool is_stale = false;
};

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
  // The epoll reactor adds the mask to an earlier one, so the earlier
  // registration is removed first.
  Unwatch(descriptor);
  auto& registration = registrations_[descriptor];
  if (registration == nullptr)
    registration = std::make_unique<Registration>();
  registration->handler = &handler;
  if (registration->is_stale) {
    // The descriptor number is in use again, so ACE can now remove the stale
    // registration after registering it once.
    reactor_->register_handler(descriptor, registration.get(), mask);
    reactor_->remove_handler(descriptor, kAllWithoutCall);
    registration->is_stale = false;
  }
  reactor_->register_handler(descriptor, registration.get(), mask);
}

void Reactor::Unwatch(int descriptor) {
  const auto it = registrations_.find(descriptor);
  if (it == registrations_.end() || it->second->handler == nullptr)
    return;
  it->second->handler = nullptr;
  it->second->is_stale =
      reactor_->remove_handler(descriptor, kAllWithoutCall) != 0;
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
  // A participant may remove itself or another one during its turn.
  const std::vector<LoopParticipant*> present = participants_;
  for (LoopParticipant* participant : present) {
    if (std::ranges::find(participants_, participant) != participants_.end())
      participant->RunTurn(Now());
  }
}

}  // namespace bilberry::transport
