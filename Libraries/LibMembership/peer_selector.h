#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibMembership/host_list.h"

namespace bilberry::membership {

// Number of peers that get one round of gossip.
struct GossipFanout {
  size_t own_zone_count = 0;
  size_t other_zone_count = 0;
};

// Fanout of a regular round, of every kCrossZoneRoundInterval-th round, and of
// a round that spreads an update.
inline constexpr GossipFanout kDefaultFanout{1, 0};
inline constexpr GossipFanout kCrossZoneFanout{1, 1};
inline constexpr uint64_t kCrossZoneRoundInterval = 2;
inline constexpr GossipFanout kUpdateFanout{2, 1};

// Chooses gossip peers at random, mostly in the own zone, some in other zones.
class PeerSelector {
 public:
  PeerSelector(base::HostName self,
               base::ZoneName zone,
               const base::SocketAddress& address,
               std::vector<base::SocketAddress> seeds);

  // Chooses among the listed entry hosts, and also among the seed peers when no
  // other host is listed or when the recent calls all failed.
  std::vector<base::SocketAddress> Select(const HostList& hosts,
                                          GossipFanout fanout,
                                          base::Random& random) const;

  // Record whether a call to a peer was answered.
  void NoteAnswered() { failed_calls_ = 0; }
  void NoteFailed() { ++failed_calls_; }

 private:
  base::HostName self_;
  base::ZoneName zone_;
  std::vector<base::SocketAddress> seeds_;
  size_t failed_calls_ = 0;
};

}  // namespace bilberry::membership
