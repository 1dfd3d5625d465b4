#pragma once

#include <map>
#include <string>

#include "LibForward/feed_follower.h"
#include "LibForward/forward_context.h"

namespace bilberry::forward {

// The zones that operators have evacuated.
class EvacuatedZones {
 public:
  explicit EvacuatedZones(ForwardContext& context) : context_(context) {}

  // Applies rows of the operators' table, and logs what has changed. Returns
  // whether anything has.
  bool Apply(const FeedFollower::Update& update);

  bool Contains(const base::ZoneName& zone) const;

 private:
  using Zones = std::map<std::string, base::ZoneName>;  // By row key.

  void LogChanges(const Zones& earlier);

  ForwardContext& context_;
  Zones zones_;
};

}  // namespace bilberry::forward
