#pragma once

#include "LibForward/forward_configuration.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// A group of endpoints that together produce all pieces of one request: the
// endpoints of one zone or, in a small fleet, of all zones. Each pool of a cell
// has one dispatcher.
struct Cell {
  base::ZoneName zone;  // Empty for all zones.

  bool HasAllZones() const { return zone.value.empty(); }
  bool Holds(const ListedEndpoint& endpoint) const {
    return HasAllZones() || endpoint.zone == zone;
  }

  friend auto operator<=>(const Cell&, const Cell&) = default;
};

// One pool of one cell, the unit that one dispatcher serves.
struct CellPool {
  Cell cell;
  base::PoolName pool;

  friend auto operator<=>(const CellPool&, const CellPool&) = default;
};

}  // namespace bilberry::forward
