#pragma once

#include "LibBase/ids.h"

namespace bilberry::forward {

// An entry host as its peers know it.
struct PeerHost {
  base::HostName name;
  base::SocketAddress address;
  base::ZoneName zone;
  double capacity = 1;   // Cores.
  double link_mbps = 0;  // 0 if not told.

  friend bool operator==(const PeerHost&, const PeerHost&) = default;
};

// What no host has: a row that tells more is not a host's.
inline constexpr double kMostCapacity = 1e5;
inline constexpr double kMostLinkMbps = 1e7;

inline bool IsPlausible(const PeerHost& host) {
  return host.capacity > 0 && host.capacity <= kMostCapacity &&
         host.link_mbps >= 0 && host.link_mbps <= kMostLinkMbps;
}

}  // namespace bilberry::forward
