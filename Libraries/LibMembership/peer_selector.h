#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibMembership/host_list.h"

namespace bilberry::membership {

// How many peers are told at once.
struct GossipFanout {
  size_t of_own_zone = 0;
  size_t across = 0;
};

// Most rounds, every kCrossZoneRoundInterval-th round, and when there is news.
inline constexpr GossipFanout kDefaultFanout{1, 0};
inline constexpr GossipFanout kCrossZoneFanout{1, 1};
inline constexpr uint64_t kCrossZoneRoundInterval = 2;
inline constexpr GossipFanout kUpdateFanout{2, 1};

// Chooses peers at random, most of them of the own zone, some across.
class PeerSelector {
 public:
  PeerSelector(base::HostName self,
               base::ZoneName zone,
               const base::SocketAddress& address,
               std::vector<base::SocketAddress> seeds);

  // The list's entry hosts; seeds when it names none, or when nobody listed has
  // answered lately.
  std::vector<base::SocketAddress> Select(const HostList& hosts,
                                          GossipFanout share,
                                          base::Random& random) const;

  // Whether the peers that were asked last have answered.
  void NoteAnswered() { silent_calls_ = 0; }
  void NoteFailed() { ++silent_calls_; }

 private:
  base::HostName self_;
  base::ZoneName zone_;
  std::vector<base::SocketAddress> seeds_;
  size_t silent_calls_ = 0;
};

}  // namespace bilberry::membership
