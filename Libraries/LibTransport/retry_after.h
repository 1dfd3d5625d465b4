#pragma once

#include <optional>

#include "LibBase/time.h"
#include "LibTransport/http_message.h"

namespace bilberry::transport {

// For how long an endpoint that turned a request away (503) wants nothing from
// this host: seconds, whole or with a fraction, an hour at the most. Empty when
// it doesn't say, or says anything but a positive number.
std::optional<base::Duration> ParseRetryAfter(const HttpResponse& response);

}  // namespace bilberry::transport
