#include "LibForward/host_sizes.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// A host is large if it has this part of what the largest one has.
constexpr double kLargePart = 0.5;

}  // namespace

HostSizes::HostSizes(std::span<const PeerHost> hosts) {
  for (const PeerHost& it : hosts) {
    most_capacity_ = std::max(most_capacity_, it.capacity);
    most_link_mbps_ = std::max(most_link_mbps_, it.link_mbps);
  }
}

bool HostSizes::IsLarge(const PeerHost& host) const {
  return host.capacity >= kLargePart * most_capacity_ &&
         host.link_mbps >= kLargePart * most_link_mbps_;
}

HostTier TierOf(bool is_large, bool is_in_zone) {
  if (is_large)
    return is_in_zone ? HostTier::kLargeInZone : HostTier::kLargeElsewhere;
  return is_in_zone ? HostTier::kSmallInZone : HostTier::kSmallElsewhere;
}

}  // namespace bilberry::forward
