#pragma once

#include <optional>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

enum class EndpointState {
  kServing,
  kLeaving,
  kEvacuated,  // Operators want nothing to be sent to its zone.
};

// An endpoint as the platform lists it. Another process at the same address
// mostly has another name.
struct ListedEndpoint {
  base::EndpointName name;
  base::PoolName pool;
  base::ZoneName zone;
  base::SocketAddress address;
  EndpointState state = EndpointState::kServing;
  // Of a process that starts again under its name, another; zero if the
  // platform doesn't tell.
  base::Incarnation incarnation{};
  // How much longer it says that it is cold, from when this is heard; empty if
  // it doesn't tell. Kept by those who hear it; a list of endpoints has none.
  std::optional<base::Duration> cold_for = std::nullopt;

  friend bool operator==(const ListedEndpoint&,
                         const ListedEndpoint&) = default;
};

}  // namespace bilberry::forward
