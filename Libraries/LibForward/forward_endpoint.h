#pragma once

#include <string>

#include "LibBase/ids.h"

namespace bilberry::forward {

enum class EndpointState { kServing, kLeaving };

// An endpoint as the platform lists it. Its name is that of one life: another
// process at the same address has another name.
struct ListedEndpoint {
  base::EndpointName name;
  base::PoolName pool;
  base::ZoneName zone;
  base::SocketAddress address;
  EndpointState state = EndpointState::kServing;

  friend bool operator==(const ListedEndpoint&,
                         const ListedEndpoint&) = default;
};

}  // namespace bilberry::forward
