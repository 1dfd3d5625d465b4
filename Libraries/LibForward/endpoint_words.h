#pragma once

#include "LibForward/endpoint_limits.h"
#include "LibForward/quiet_times.h"

namespace bilberry::forward {

// What endpoints have said of themselves that bounds what may be sent there.
struct EndpointWords {
  QuietTimes quiet_times;
  EndpointLimits limits;
};

}  // namespace bilberry::forward
