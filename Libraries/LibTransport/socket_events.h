#pragma once

#include <ace/Event_Handler.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "LibBase/error.h"
#include "LibTransport/reactor.h"

namespace bilberry::transport {

// The events of one component's sockets, in an epoll set of their own. The
// reactor tells of one descriptor a turn, so it only wakes up for this set; the
// component handles the events in its turn, those of many sockets together, and
// leaves what is too much for one turn to later ones.
class SocketEvents final : private ACE_Event_Handler {
 public:
  // So many events are handled between two looks at whether a turn has enough.
  static constexpr size_t kBatch = 8;

  // Receives the data that was given for the socket, and epoll's flags.
  using Handler = std::function<void(uint64_t data, uint32_t events)>;

  // The reactor must outlive this object.
  static base::Result<std::unique_ptr<SocketEvents>> Create(Reactor& reactor);
  ~SocketEvents() override;
  SocketEvents(const SocketEvents&) = delete;
  SocketEvents& operator=(const SocketEvents&) = delete;

  // Waits for these events of the socket, as epoll's flags, instead of earlier
  // ones. Returns false with errno set if the system refuses.
  bool Watch(int socket, uint32_t events, uint64_t data);
  // Sockets that are closed already need not be removed, but may be.
  void Remove(int socket);

  // Handles the events that are there, until `has_enough` or a limit on events.
  void Handle(const Handler& handle, const std::function<bool()>& has_enough);

 private:
  explicit SocketEvents(Reactor& reactor) : reactor_(reactor) {}

  int handle_input(ACE_HANDLE descriptor) override;

  Reactor& reactor_;
  int set_ = -1;
};

}  // namespace bilberry::transport
