#include "LibForward/evacuated_zones.h"

#include <algorithm>

namespace bilberry::forward {

bool EvacuatedZones::Apply(const FeedFollower::Update& update) {
  const Zones earlier = zones_;
  if (update.is_whole)
    zones_.clear();
  for (const FeedRow& row : update.rows) {
    if (const auto* it = std::get_if<ZoneEvacuated>(&row.content))
      zones_[row.key] = it->zone;
    else if (std::holds_alternative<RowRemoved>(row.content))
      zones_.erase(row.key);
    // An unreadable row still exists, so its evacuation stays in force.
    else if (const auto known = earlier.find(row.key); known != earlier.end())
      zones_.insert(*known);
  }
  if (zones_ == earlier)
    return false;
  LogChanges(earlier);
  return true;
}

void EvacuatedZones::LogChanges(const Zones& earlier) {
  for (const auto& [key, zone] : zones_) {
    if (!earlier.contains(key))
      context_.Log(base::LogEventId::kZoneEvacuated, "",
                   {{"zone", zone.value}});
  }
  for (const auto& [key, zone] : earlier) {
    if (!zones_.contains(key))
      context_.Log(base::LogEventId::kZoneTakenBack, "",
                   {{"zone", zone.value}});
  }
}

bool EvacuatedZones::Contains(const base::ZoneName& zone) const {
  return std::ranges::any_of(
      zones_, [&zone](const auto& it) { return it.second == zone; });
}

}  // namespace bilberry::forward
