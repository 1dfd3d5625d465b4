#pragma once

#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// Rate that an endpoint accepts from all hosts together.
struct RequestLimit {
  std::optional<double> per_second;  // Requests per second; empty if unlimited.

  friend bool operator==(const RequestLimit&, const RequestLimit&) = default;
};

// What the headers of an answer say about the endpoint itself.
struct EndpointNotice {
  bool is_leaving = false;
  // Backoff that the endpoint asks of this host (Retry-After, RFC 9110 section
  // 10.2.3).
  std::optional<base::Duration> retry_after;
  // Empty if this kind of answer can't name a limit.
  std::optional<RequestLimit> limit;
  // Remaining cold time; empty if the answer doesn't state it.
  std::optional<base::Duration> cold_for = std::nullopt;

  // How long work takes at the endpoint at this moment, relative to the usual
  // time; empty if the answer doesn't state it.
  std::optional<double> work_factor = std::nullopt;

  // Whether the answer says nothing apart from the absence of a limit, which
  // matters only if the endpoint had one before.
  bool is_empty() const {
    return !is_leaving && !retry_after && !cold_for && !work_factor &&
           !(limit && limit->per_second);
  }
};

}  // namespace bilberry::forward
