#include "LibForward/placement_zones.h"

#include <algorithm>
#include <chrono>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

// In another zone, the session's prompt has to be prefilled anew and results
// cross zones; a smaller difference of waits isn't worth that.
constexpr std::chrono::milliseconds kWorthwhileGain{150};

}  // namespace

void PlacementZones::NoteWait(const PlacementDomain& domain,
                              base::Duration wait,
                              base::TimePoint now) {
  waits_[domain] = {wait, now};
}

base::Duration PlacementZones::WaitOf(const PlacementDomain& domain,
                                      base::TimePoint now) const {
  const auto it = waits_.find(domain);
  if (it == waits_.end())
    return base::Duration(0);
  return std::max(it->second.wait - (now - it->second.at), base::Duration(0));
}

std::optional<base::ZoneName> PlacementZones::Choose(
    const base::PoolName& pool,
    std::string_view session,
    std::span<const ZoneCapacity> zones,
    base::TimePoint now) const {
  if (zones.empty())
    return std::nullopt;
  const auto score = [session](const ZoneCapacity& it) {
    return WeightedRendezvous(session, it.zone.value, it.endpoints);
  };
  const auto wait = [&](const ZoneCapacity& it) {
    return WaitOf({pool, it.zone}, now);
  };
  const ZoneCapacity& home = *std::ranges::max_element(zones, {}, score);
  const ZoneCapacity& idlest = *std::ranges::min_element(zones, {}, wait);
  return wait(home) > wait(idlest) + kWorthwhileGain ? idlest.zone : home.zone;
}

}  // namespace bilberry::forward
