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

// What becomes of what passes a link.
enum class LinkState {
  kHealthy,
  // Swallowed both ways, with every connection left open: what is between the
  // two ends has lost track of them. New connections are made, and go silent.
  kSilent,
  // Old connections are silent for good, new ones work.
  kDropsOldConnections,
  kOneWayOut,    // Only what comes from the connecting end passes.
  kOneWayBack,   // Only what goes to the connecting end passes.
  kRefusing,     // Old connections are reset, new ones closed.
  kSlow,         // All comes late.
  kDuplicating,  // What comes from the connecting end passes twice.
};

// A TCP link between two ends that a test can cut: listens at one address and
// passes each connection on to another.
class Relay final : private ACE_Event_Handler {
 public:
  static base::Result<std::unique_ptr<Relay>> Create(
      transport::Reactor& reactor,
      const base::SocketAddress& listen,
      const base::SocketAddress& target);
  ~Relay() override;

  // With the port that was taken.
  const base::SocketAddress& address() const { return listen_; }

  void Order(LinkState state);

  // What has passed, both ways together.
  uint64_t passed_bytes() const { return passed_bytes_; }

 private:
  struct Side {
    int peer = -1;
    bool is_from_caller = false;
    bool is_forgotten = false;
    std::string unsent;   // To be written to this side.
    uint64_t serial = 0;  // Descriptors are used again.
    uint32_t late = 0;    // What was read of this side and has not passed yet.
  };

  Relay(transport::Reactor& reactor, base::SocketAddress target)
      : reactor_(reactor), timers_(reactor), target_(std::move(target)) {}

  base::Result<void> Listen(const base::SocketAddress& listen);
  int handle_input(ACE_HANDLE descriptor) override;
  int handle_output(ACE_HANDLE descriptor) override;
  void Accept();
  void Pass(int descriptor);
  void PassLater(int descriptor, Side& from, std::string bytes);
  void EndLate(int descriptor, uint64_t serial, const std::string& bytes);
  void Flush(int descriptor);
  void Close(int descriptor);
  bool DoesPass(const Side& from) const;

  transport::Reactor& reactor_;
  transport::TimerQueue timers_;
  base::SocketAddress listen_;
  base::SocketAddress target_;
  LinkState state_ = LinkState::kHealthy;
  int listener_ = -1;
  uint64_t passed_bytes_ = 0;
  uint64_t last_serial_ = 0;
  std::map<int, Side> sides_;
};

}  // namespace bilberry::standins
