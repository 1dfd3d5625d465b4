#pragma once

#include <span>

#include "LibForward/peer_host.h"

namespace bilberry::forward {

// Distinguishes large hosts, which can do tasks for many others, from small
// ones.
class HostSizes {
 public:
  HostSizes() = default;
  explicit HostSizes(std::span<const PeerHost> hosts);

  bool IsLarge(const PeerHost& host) const;

 private:
  double max_capacity_ = 0;
  double max_link_mbps_ = 0;
};

// The order in which hosts are preferred for the tasks of a zone, best first. A
// large host of another zone comes before a small host of the task's zone,
// because a small host overloads sooner than the distance between zones
// matters.
enum class HostTier {
  kLargeInZone,
  kLargeElsewhere,
  kSmallInZone,
  kSmallElsewhere
};

HostTier TierOf(bool is_large, bool is_in_zone);

}  // namespace bilberry::forward
