#pragma once

#include "LibForward/forward_configuration.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// The endpoints that make the pieces of one request: those of one zone or, in a
// small fleet, those of all zones. Each pool of a cell has one dispatcher.
struct Cell {
  base::ZoneName zone;  // Empty: all zones.

  bool HasAllZones() const { return zone.value.empty(); }
  bool Holds(const ListedEndpoint& endpoint) const {
    return HasAllZones() || endpoint.zone == zone;
  }

  friend auto operator<=>(const Cell&, const Cell&) = default;
};

// One pool of one cell: what one dispatcher works for.
struct CellPool {
  Cell cell;
  base::PoolName pool;

  friend auto operator<=>(const CellPool&, const CellPool&) = default;
};

}  // namespace bilberry::forward
