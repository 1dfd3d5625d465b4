#pragma once

#include <set>
#include <span>
#include <vector>

#include "LibForward/cell.h"

namespace bilberry::forward {

// Divides the fleet's endpoints into cells. The result depends on the endpoint
// list alone, so hosts with the same list agree without communication.
class CellPlan {
 public:
  void SetPools(std::set<base::PoolName> pools) { pools_ = std::move(pools); }
  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  // Never empty.
  const std::vector<Cell>& cells() const { return cells_; }

 private:
  std::set<base::PoolName> pools_;  // Pools whose endpoints produce pieces.
  std::vector<Cell> cells_{Cell()};
};

}  // namespace bilberry::forward
