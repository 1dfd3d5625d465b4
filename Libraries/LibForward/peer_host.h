#pragma once

#include "LibBase/ids.h"

namespace bilberry::forward {

// An entry host as its peers see it.
struct PeerHost {
  base::HostName name;
  base::SocketAddress address;
  base::ZoneName zone;
  double capacity = 1;   // Cores.
  double link_mbps = 0;  // 0 if unknown.

  friend bool operator==(const PeerHost&, const PeerHost&) = default;
};

// Upper bounds of what a host can have. A row with higher values is taken as
// corrupt.
inline constexpr double kMaxCapacity = 1e5;
inline constexpr double kMaxLinkMbps = 1e7;

inline bool IsPlausible(const PeerHost& host) {
  return host.capacity > 0 && host.capacity <= kMaxCapacity &&
         host.link_mbps >= 0 && host.link_mbps <= kMaxLinkMbps;
}

}  // namespace bilberry::forward
