#pragma once

#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// What an answer of an endpoint says of the endpoint itself.
struct EndpointNotice {
  bool is_leaving = false;
  // It wants nothing from this host for so long (RFC 9110 section 10.2.3).
  std::optional<base::Duration> retry_after;

  bool is_empty() const { return !is_leaving && !retry_after; }
};

}  // namespace bilberry::forward
