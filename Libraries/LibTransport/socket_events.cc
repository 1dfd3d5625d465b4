#include "LibTransport/socket_events.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <string>

namespace bilberry::transport {

namespace {

// At most so many events are handled in one turn, also if they bring nothing.
constexpr size_t kMaxEvents = 256;

}  // namespace

base::Result<std::unique_ptr<SocketEvents>> SocketEvents::Create(
    Reactor& reactor) {
  std::unique_ptr<SocketEvents> events(new SocketEvents(reactor));
  events->set_ = epoll_create1(EPOLL_CLOEXEC);
  if (events->set_ < 0)
    return base::Error{
        base::ErrorCode::kSystem, base::Step::kListen, "",
        std::string("failed to create an epoll set: ") + std::strerror(errno)};
  reactor.Watch(events->set_, *events, ACE_Event_Handler::READ_MASK);
  return events;
}

SocketEvents::~SocketEvents() {
  if (set_ < 0)
    return;
  reactor_.Unwatch(set_);
  close(set_);
}

int SocketEvents::handle_input(ACE_HANDLE /*descriptor*/) {
  return 0;
}

bool SocketEvents::Watch(int socket, uint32_t events, uint64_t data) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = data;
  return epoll_ctl(set_, EPOLL_CTL_MOD, socket, &event) == 0 ||
         epoll_ctl(set_, EPOLL_CTL_ADD, socket, &event) == 0;
}

void SocketEvents::Remove(int socket) {
  epoll_ctl(set_, EPOLL_CTL_DEL, socket, nullptr);
}

void SocketEvents::Handle(const Handler& handle,
                          const std::function<bool()>& has_enough) {
  std::array<epoll_event, kBatch> events{};
  size_t handled = 0;
  for (;;) {
    const int n = epoll_wait(set_, events.data(), static_cast<int>(kBatch), 0);
    for (int i = 0; i < n; ++i) {
      const epoll_event& it = events.at(static_cast<size_t>(i));
      handle(it.data.u64, it.events);
    }
    handled += static_cast<size_t>(std::max(n, 0));
    if (n < static_cast<int>(kBatch) || handled >= kMaxEvents || has_enough())
      return;
  }
}

}  // namespace bilberry::transport
