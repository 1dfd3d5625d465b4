#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "LibBase/ids.h"
#include "LibPolicy/pool_scheduler.h"

namespace bilberry::node {

enum class Readiness {
  kReady,
  kNoConfiguration,
  kNoEndpoints,  // No live endpoint is known.
  kStopping,
};

std::string_view ToText(Readiness readiness);

// Status of an entry host for operators.
struct NodeStatus {
  base::HostName host;
  base::ZoneName zone;
  base::Incarnation incarnation{};
  base::Revision revision{};
  Readiness readiness = Readiness::kNoConfiguration;
  bool is_platform_reachable = true;
  uint64_t runs = 0;
  uint64_t unrecorded_bookings = 0;
  std::vector<policy::PoolLoad> pools;
};

}  // namespace bilberry::node
