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

// Returns the relays of all zones, each once, zone by zone.
std::vector<PeerHost> RelaysOfAllZones(std::span<const PeerHost> hosts);

// Decides which other host this one polls for updates of the store, and when.
// In a large fleet a few hosts of each zone follow the store and the others
// poll one of these relays; in a small fleet each host follows the store
// itself. A host that follows the store itself, or whose relays don't reach it,
// polls peers drawn at random (gossip): the store may reject some hosts, or
// lose its answers to them, while it answers others.
class RelayPoller {
 public:
  RelayPoller(PeerHost own, uint64_t seed)
      : own_(std::move(own)), random_(seed) {}

  void SetHosts(std::span<const PeerHost> hosts);

  // Whether this host has relays instead of following the store itself.
  bool has_relays() const { return !relays_.empty(); }

  // Returns the host to poll now, if one is due. The caller reports the end of
  // the poll by NoteAnswered() or NoteFailed().
  std::optional<PeerHost> TakeDue(base::TimePoint now);
  // Fails over to another host if the answer is outdated.
  void NoteAnswered(base::TimePoint now, bool is_outdated);
  // Fails over to another host.
  void NoteFailed(base::TimePoint now);
  // Sends the next poll to another relay, if there is one.
  void RotateRelay() { ++relay_index_; }
  // The store rejects this host's own calls, or doesn't answer them: peers are
  // polled more often, and the first one soon.
  void SetStoreFailing(bool is_failing, base::TimePoint now);

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  void PollAfter(base::Duration delay, base::TimePoint now);

  PeerHost own_;
  base::Random random_;
  // Empty if this host follows the store itself.
  std::vector<PeerHost> relays_;
  std::vector<PeerHost> peers_;  // All other hosts.
  // The other relays of all zones, if this host is a relay itself. They are
  // polled in turn with peers drawn from all: most that any host knows is known
  // to one of them, and they have the links to pass on much.
  std::vector<PeerHost> other_relays_;
  uint64_t poll_count_ = 0;
  size_t relay_index_ = 0;
  // Consecutive polls that brought no current copy.
  size_t misses_ = 0;
  bool is_store_failing_ = false;
  bool is_polling_ = false;
  base::TimePoint next_poll_;
};

}  // namespace bilberry::forward
