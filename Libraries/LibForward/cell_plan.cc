#include "LibForward/cell_plan.h"

#include <algorithm>
#include <map>

namespace bilberry::forward {

namespace {

// A zone is a cell of its own where each pool has this many endpoints in the
// mean zone: with fewer, calls wait long for an endpoint to become idle, while
// those of other zones are.
constexpr double kLeastEndpointsPerZone = 2.25;

}  // namespace

void CellPlan::SetEndpoints(std::span<const ListedEndpoint> endpoints) {
  std::set<base::ZoneName> zones;
  std::map<base::PoolName, size_t> counts;
  for (const base::PoolName& pool : pools_)
    counts[pool] = 0;
  for (const ListedEndpoint& it : endpoints) {
    if (!pools_.contains(it.pool))
      continue;
    zones.insert(it.zone);
    ++counts[it.pool];
  }
  const auto smallest = std::ranges::min_element(
      counts, {}, [](const auto& it) { return it.second; });
  const bool is_small =
      smallest == counts.end() ||
      static_cast<double>(smallest->second) <
          kLeastEndpointsPerZone * static_cast<double>(zones.size());
  cells_.clear();
  if (is_small) {
    cells_.emplace_back();
    return;
  }
  for (const base::ZoneName& zone : zones)
    cells_.push_back({zone});
}

}  // namespace bilberry::forward
