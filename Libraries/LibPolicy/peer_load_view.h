#pragma once

#include <cstddef>

namespace bilberry::policy {

// Whether this host has used up its equal part of the pool's limits.
enum class OwnQuota { kAvailable, kExhausted };

// Load of the other entry hosts, as an input to the choice of an endpoint.
struct PeerLoadView {
  // Sum over all peers, averaged over the pool's endpoints.
  double mean_load = 0;
  size_t count = 0;
  OwnQuota own_quota = OwnQuota::kAvailable;
};

}  // namespace bilberry::policy
