#include "LibMembership/peer_selector.h"

#include <algorithm>
#include <utility>

namespace bilberry::membership {

namespace {

using Addresses = std::vector<base::SocketAddress>;

// After this many consecutive failed calls, the listed addresses may all be
// outdated.
constexpr size_t kFailedCallsBeforeSeeds = 4;

// Moves up to `count` elements of `from`, drawn at random, to `to`.
void Draw(Addresses& from, size_t count, base::Random& random, Addresses& to) {
  for (; count > 0 && !from.empty(); --count) {
    std::swap(from[random.Below(from.size())], from.back());
    to.push_back(std::move(from.back()));
    from.pop_back();
  }
}

}  // namespace

PeerSelector::PeerSelector(base::HostName self,
                           base::ZoneName zone,
                           const base::SocketAddress& address,
                           Addresses seeds)
    : self_(std::move(self)), zone_(std::move(zone)), seeds_(std::move(seeds)) {
  std::erase(seeds_, address);
}

Addresses PeerSelector::Select(const HostList& hosts,
                               GossipFanout fanout,
                               base::Random& random) const {
  Addresses own_zone;
  Addresses other_zones;
  for (const base::HostEntry& entry : hosts.LiveEntryHosts()) {
    if (entry.name != self_.value)
      (entry.zone == zone_ ? own_zone : other_zones).push_back(entry.address);
  }
  if ((own_zone.empty() && other_zones.empty()) ||
      failed_calls_ >= kFailedCallsBeforeSeeds)
    other_zones.insert(other_zones.end(), seeds_.begin(), seeds_.end());
  const size_t wanted = fanout.own_zone_count + fanout.other_zone_count;
  Addresses chosen;
  Draw(own_zone, fanout.own_zone_count, random, chosen);
  Draw(other_zones, wanted - chosen.size(), random, chosen);
  Draw(own_zone, wanted - chosen.size(), random, chosen);
  return chosen;
}

}  // namespace bilberry::membership
