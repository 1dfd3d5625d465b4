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
inline constexpr double kMaxCapacity = 1e5;
inline constexpr double kMaxLinkMbps = 1e7;

inline bool IsPlausible(const PeerHost& host) {
  return host.capacity > 0 && host.capacity <= kMaxCapacity &&
         host.link_mbps >= 0 && host.link_mbps <= kMaxLinkMbps;
}

}  // namespace bilberry::forward
