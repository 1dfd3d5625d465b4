#include "LibForward/host_sizes.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// A host is large if it has at least this fraction of both the largest capacity
// and the fastest link of all hosts.
constexpr double kLargeFraction = 0.5;

}  // namespace

HostSizes::HostSizes(std::span<const PeerHost> hosts) {
  for (const PeerHost& it : hosts) {
    max_capacity_ = std::max(max_capacity_, it.capacity);
    max_link_mbps_ = std::max(max_link_mbps_, it.link_mbps);
  }
}

bool HostSizes::IsLarge(const PeerHost& host) const {
  return host.capacity >= kLargeFraction * max_capacity_ &&
         host.link_mbps >= kLargeFraction * max_link_mbps_;
}

HostTier TierOf(bool is_large, bool is_in_zone) {
  if (is_large)
    return is_in_zone ? HostTier::kLargeInZone : HostTier::kLargeElsewhere;
  return is_in_zone ? HostTier::kSmallInZone : HostTier::kSmallElsewhere;
}

}  // namespace bilberry::forward
