#pragma once

#include <set>
#include <span>
#include <vector>

#include "LibForward/cell.h"

namespace bilberry::forward {

// Which cells a fleet has. Hosts that are told of the same endpoints have the
// same cells, without talking.
class CellPlan {
 public:
  void SetPools(std::set<base::PoolName> pools) { pools_ = std::move(pools); }
  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  // Never empty.
  const std::vector<Cell>& cells() const { return cells_; }

 private:
  std::set<base::PoolName> pools_;  // Those that make pieces.
  std::vector<Cell> cells_{Cell()};
};

}  // namespace bilberry::forward
