#pragma once

#include "LibBase/ids.h"
#include "LibTransport/reactor.h"

namespace bilberry::standins {

// Returns an address for a listener that stays available: the IP address is
// unique to this process, and each port is returned only once.
base::SocketAddress FreeAddress(transport::Reactor& reactor);

}  // namespace bilberry::standins
