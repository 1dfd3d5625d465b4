#pragma once

#include <span>

#include "LibForward/peer_host.h"

namespace bilberry::forward {

// Tells large hosts, which can work for many others, from small ones.
class HostSizes {
 public:
  HostSizes() = default;
  explicit HostSizes(std::span<const PeerHost> hosts);

  bool IsLarge(const PeerHost& host) const;

 private:
  double most_capacity_ = 0;
  double most_link_mbps_ = 0;
};

// In which order hosts are taken that work for a zone; lower goes first. A
// small host of the zone would be overloaded sooner than a large one elsewhere
// is far.
enum class HostTier {
  kLargeInZone,
  kLargeElsewhere,
  kSmallInZone,
  kSmallElsewhere
};

HostTier TierOf(bool is_large, bool is_in_zone);

}  // namespace bilberry::forward
