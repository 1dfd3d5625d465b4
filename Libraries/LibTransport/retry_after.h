#pragma once

#include <optional>

#include "LibBase/time.h"
#include "LibTransport/http_message.h"

namespace bilberry::transport {

// Returns how long to back off from an endpoint that refused a request (503):
// its Retry-After in seconds, whole or with a fraction, capped at one hour.
// Empty if the header is missing or not a positive number.
std::optional<base::Duration> ParseRetryAfter(const HttpResponse& response);

}  // namespace bilberry::transport
