#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/peer_host.h"

namespace bilberry::forward {

// Returns the relays of a zone: the hosts that follow the store on behalf of
// the zone's other hosts. In a small fleet each host follows the store itself,
// so all hosts are returned.
std::vector<PeerHost> RelaysOf(std::span<const PeerHost> hosts,
                               const base::ZoneName& zone);

// Decides which relay this host polls for updates of the store, and when. In a
// large fleet a few hosts of each zone follow the store and the others poll one
// of them; in a small fleet each host follows the store itself.
class RelayPoller {
 public:
  RelayPoller(PeerHost own, uint64_t seed)
      : own_(std::move(own)), random_(seed) {}

  void SetHosts(std::span<const PeerHost> hosts);

  // Returns the relay to poll now, if one is due. The caller reports the end of
  // the poll by NoteAnswered() or NoteFailed().
  std::optional<PeerHost> TakeDue(base::TimePoint now);
  void NoteAnswered(base::TimePoint now);
  // Fails over to the next relay.
  void NoteFailed(base::TimePoint now);
  // Sends the next poll to another relay, if there is one.
  void RotateRelay() { ++relay_index_; }

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  PeerHost own_;
  base::Random random_;
  // Empty if this host follows the store itself.
  std::vector<PeerHost> relays_;
  size_t relay_index_ = 0;
  bool is_polling_ = false;
  base::TimePoint next_poll_;
};

}  // namespace bilberry::forward
