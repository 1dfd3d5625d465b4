#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/peer_host.h"

namespace bilberry::forward {

// The hosts that follow the store for the others of a zone; all hosts in a
// small fleet, in which each does so by itself.
std::vector<PeerHost> RelaysOf(std::span<const PeerHost> hosts,
                               const base::ZoneName& zone);

// Whom this host asks for news of the store, and when. In a large fleet a few
// hosts of each zone follow the store, and the others ask one of those; in a
// small one, each host follows it by itself.
class RelayPoller {
 public:
  RelayPoller(PeerHost own, uint64_t seed)
      : own_(std::move(own)), random_(seed) {}

  void SetHosts(std::span<const PeerHost> hosts);

  // The host to ask now; ends in one NoteAnswered() or NoteFailed().
  std::optional<PeerHost> TakeDue(base::TimePoint now);
  void NoteAnswered(base::TimePoint now);
  // The next one is asked.
  void NoteFailed(base::TimePoint now);
  // The next question goes to another relay, if there is one.
  void TakeTurns() { ++turn_; }

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  PeerHost own_;
  base::Random random_;
  std::vector<PeerHost> relays_;  // Empty: this host follows the store.
  size_t turn_ = 0;
  bool is_asking_ = false;
  base::TimePoint due_;
};

}  // namespace bilberry::forward
