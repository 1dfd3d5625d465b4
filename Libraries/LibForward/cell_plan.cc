#include "LibForward/cell_plan.h"

#include <algorithm>
#include <map>

namespace bilberry::forward {

namespace {

// Each zone is a cell of its own if every pool has at least this many endpoints
// per zone on average. With fewer, calls would queue for a busy endpoint of
// their zone while endpoints of other zones are idle.
constexpr double kMinEndpointsPerZone = 2.25;

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
  const bool is_single_cell =
      smallest == counts.end() ||
      static_cast<double>(smallest->second) <
          kMinEndpointsPerZone * static_cast<double>(zones.size());
  cells_.clear();
  if (is_single_cell) {
    cells_.emplace_back();
    return;
  }
  for (const base::ZoneName& zone : zones)
    cells_.push_back({zone});
}

}  // namespace bilberry::forward
