#pragma once

#include <ace/Event_Handler.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "LibBase/error.h"
#include "LibBase/ids.h"
#include "LibTransport/reactor.h"
#include "LibTransport/timer_queue.h"

namespace bilberry::standins {

// Fault state of a link.
enum class LinkState {
  kHealthy,
  // Drops bytes in both directions and keeps every connection open, like a
  // middlebox that has lost its connection state. New connections are accepted
  // and go silent.
  kSilent,
  // Existing connections stay silent for good; new ones work.
  kDropsOldConnections,
  kOneWayOut,    // Forwards only bytes from the connecting end.
  kOneWayBack,   // Forwards only bytes to the connecting end.
  kRefusing,     // Existing connections are reset, new ones closed.
  kSlow,         // Delays all bytes.
  kDuplicating,  // Forwards bytes from the connecting end twice.
};

// TCP proxy with injectable faults: listens at one address and forwards each
// connection to another.
class Relay final : private ACE_Event_Handler {
 public:
  static base::Result<std::unique_ptr<Relay>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& listen,
      const base::SocketAddress& target);
  ~Relay() override;

  // The listening address, with the port that was assigned.
  const base::SocketAddress& address() const { return listen_; }

  void Order(LinkState state);
  // Limits the rate of all connections and both directions together; 0 for no
  // limit.
  void LimitRate(uint64_t bytes_per_second) {
    bytes_per_second_ = bytes_per_second;
  }

  // Bytes forwarded in both directions.
  uint64_t passed_bytes() const { return passed_bytes_; }

 private:
  struct Side {
    int peer = -1;
    bool is_from_caller = false;
    bool is_dropped = false;
    std::string unsent;  // Bytes still to be written to this side.
    // Distinguishes connections because descriptors are reused.
    uint64_t serial = 0;
    // Number of delayed blocks read from this side and not yet forwarded.
    uint32_t delayed_blocks = 0;
  };

  Relay(transport::Reactor& reactor, base::SocketAddress target)
      : reactor_(reactor), timers_(reactor), target_(std::move(target)) {}

  base::Result<void> Listen(const base::SocketAddress& listen);
  int handle_input(ACE_HANDLE descriptor) override;
  int handle_output(ACE_HANDLE descriptor) override;
  void Accept();
  void Forward(int descriptor);
  void ForwardLater(int descriptor, Side& from, std::string bytes);
  // How long what is sent next is held back.
  base::Duration DelayOf(size_t bytes);
  void ForwardDelayed(int descriptor,
                      uint64_t serial,
                      const std::string& bytes);
  void Flush(int descriptor);
  void Close(int descriptor);
  bool DoesForward(const Side& from) const;

  transport::Reactor& reactor_;
  transport::TimerQueue timers_;
  base::SocketAddress listen_;
  base::SocketAddress target_;
  LinkState state_ = LinkState::kHealthy;
  int listener_ = -1;
  uint64_t passed_bytes_ = 0;
  uint64_t bytes_per_second_ = 0;
  base::TimePoint busy_until_;  // With a limited rate.
  uint64_t last_serial_ = 0;
  std::map<int, Side> sides_;
};

}  // namespace bilberry::standins
