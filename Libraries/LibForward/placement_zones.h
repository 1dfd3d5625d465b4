#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/placement.h"

namespace bilberry::forward {

// A zone and the number of a pool's endpoints that serve in it.
struct ZoneCapacity {
  base::ZoneName zone;
  uint32_t endpoints = 0;
};

// Chooses the zone in which a request is placed. Zones get sessions in
// proportion to their endpoints. When the demand is uneven, for example because
// of a hot session, requests leave a zone whose wait is much longer than that
// of another. Performs no I/O and reads no clock.
class PlacementZones {
 public:
  // Records the wait that the domain's owner expects for the next request.
  void NoteWait(const PlacementDomain& domain,
                base::Duration wait,
                base::TimePoint now);
  // `session` is equal for the requests of a session. Empty if `zones` is
  // empty.
  std::optional<base::ZoneName> Choose(const base::PoolName& pool,
                                       std::string_view session,
                                       std::span<const ZoneCapacity> zones,
                                       base::TimePoint now) const;

 private:
  struct ReportedWait {
    base::Duration wait{};
    base::TimePoint at;
  };

  // The last reported wait less the age of the report; zero without a report.
  base::Duration WaitOf(const PlacementDomain& domain,
                        base::TimePoint now) const;

  std::map<PlacementDomain, ReportedWait> waits_;
};

}  // namespace bilberry::forward
