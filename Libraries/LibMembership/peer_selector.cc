#include "LibMembership/peer_selector.h"

#include <algorithm>
#include <utility>

namespace bilberry::membership {

namespace {

using Addresses = std::vector<base::SocketAddress>;

// After so many calls without an answer between them, the list's addresses may
// all be out of date.
constexpr size_t kSilentCallsBeforeSeeds = 4;

// Moves up to `count` of `from`, drawn at random, to `to`.
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
                               GossipFanout share,
                               base::Random& random) const {
  Addresses near;
  Addresses far;
  for (const base::HostEntry& entry : hosts.LiveEntryHosts()) {
    if (entry.name != self_.value)
      (entry.zone == zone_ ? near : far).push_back(entry.address);
  }
  if ((near.empty() && far.empty()) || silent_calls_ >= kSilentCallsBeforeSeeds)
    far.insert(far.end(), seeds_.begin(), seeds_.end());
  const size_t wanted = share.of_own_zone + share.across;
  Addresses chosen;
  Draw(near, share.of_own_zone, random, chosen);
  Draw(far, wanted - chosen.size(), random, chosen);
  Draw(near, wanted - chosen.size(), random, chosen);
  return chosen;
}

}  // namespace bilberry::membership
