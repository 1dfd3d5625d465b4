#pragma once

#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// How many requests a second an endpoint takes from all hosts together.
struct RequestLimit {
  std::optional<double> per_second;  // Empty: as many as come.

  friend bool operator==(const RequestLimit&, const RequestLimit&) = default;
};

// What an answer of an endpoint says of the endpoint itself.
struct EndpointNotice {
  bool is_leaving = false;
  // It wants nothing from this host for so long (RFC 9110 section 10.2.3).
  std::optional<base::Duration> retry_after;
  // Empty when the answer can't tell.
  std::optional<RequestLimit> limit;
  // How much longer it is cold; empty when the answer doesn't tell.
  std::optional<base::Duration> cold_for = std::nullopt;

  // Whether it says anything beside that the endpoint has no limit, which is
  // news only of one that had.
  bool is_empty() const {
    return !is_leaving && !retry_after && !cold_for &&
           !(limit && limit->per_second);
  }
};

}  // namespace bilberry::forward
