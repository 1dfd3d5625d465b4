#pragma once

#include <cstddef>

namespace bilberry::policy {

// Whether this host has used up its equal part of the pool.
enum class OwnQuota { kAvailable, kExhausted };

// What is known of the other entry hosts when one endpoint is looked at.
struct PeerLoadView {
  double mean_load = 0;  // Of all of them, at one endpoint.
  size_t count = 0;
  OwnQuota own_quota = OwnQuota::kAvailable;
};

}  // namespace bilberry::policy
