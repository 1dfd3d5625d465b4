#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "LibPolicy/pool_endpoint.h"

namespace bilberry::policy {

// Sends work with the same prompt prefix to the same endpoint, whichever entry
// host it comes to: rendezvous hashing (Thaler, Ravishankar, 1998), with
// bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018).
class PrefixAffinity {
 public:
  // The usable endpoint of `zone` that ranks first for this prefix and has no
  // more than its bound; empty when there is none. Both are indices into
  // `slots`.
  static std::optional<size_t> Choose(
      std::span<const PoolEndpoint> slots,
      const std::vector<size_t>& zone,
      uint64_t affinity,
      const std::function<bool(size_t)>& is_usable);
};

}  // namespace bilberry::policy
