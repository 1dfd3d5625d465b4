#pragma once

#include "LibBase/ids.h"
#include "LibTransport/reactor.h"

namespace bilberry::standins {

// An address at which a listener can be made, now and later: its IP number
// belongs to this process alone, and its port is given out once.
base::SocketAddress FreeAddress(transport::Reactor& reactor);

}  // namespace bilberry::standins
