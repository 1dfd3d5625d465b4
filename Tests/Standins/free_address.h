#pragma once

#include "LibBase/ids.h"
#include "LibTransport/reactor.h"

namespace bilberry::standins {

// An address at which a listener can be made, of an IP number that no other
// process uses: else one could take the port meanwhile.
base::SocketAddress FreeAddress(transport::Reactor& reactor);

}  // namespace bilberry::standins
