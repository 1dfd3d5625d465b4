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

}  // namespace bilberry::forward
