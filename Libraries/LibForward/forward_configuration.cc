#include "LibForward/forward_configuration.h"

#include <algorithm>

namespace bilberry::forward {

const ForwardedPool* ForwardConfiguration::FindPool(
    const base::PoolName& name) const {
  const auto it = std::ranges::find(pools, name, &ForwardedPool::name);
  return it == pools.end() ? nullptr : &*it;
}

}  // namespace bilberry::forward
