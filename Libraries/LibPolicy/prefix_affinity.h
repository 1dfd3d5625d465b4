#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "LibPolicy/pool_endpoint.h"

namespace bilberry::policy {

// Prefix-cache affinity: all entry hosts send work with the same prompt prefix
// to the same endpoint. Rendezvous hashing (Thaler, Ravishankar, 1998) with
// bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018).
class PrefixAffinity {
 public:
  // The usable endpoint of `zone` with the highest hash weight for this prefix
  // whose load is within the bound; empty when there is none. `zone` and the
  // result are indices into `endpoints`.
  static std::optional<size_t> Choose(
      std::span<const PoolEndpoint> endpoints,
      const std::vector<size_t>& zone,
      uint64_t affinity,
      const std::function<bool(size_t)>& is_usable);
};

}  // namespace bilberry::policy
