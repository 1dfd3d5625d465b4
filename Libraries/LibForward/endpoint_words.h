#pragma once

#include "LibForward/endpoint_failures.h"
#include "LibForward/endpoint_limits.h"
#include "LibForward/quiet_times.h"

namespace bilberry::forward {

// What bounds what may be sent to endpoints, beside what is listed: what they
// have said of themselves, and how requests and calls there ended. One for all
// paths of a host.
struct EndpointWords {
  EndpointFailures failures;
  QuietTimes quiet_times;
  EndpointLimits limits;
};

}  // namespace bilberry::forward
