#pragma once

#include <string>

#include "LibNode/caller_answer.h"
#include "LibTransport/http_message.h"

namespace bilberry::transport {

// Encodes a caller's answer as an HTTP response, as docs/CALLERS.md specifies.
HttpResponse EncodeCallerAnswer(const node::CallerAnswer& answer);

// Returns the server-sent event that ends a stream: "end" when the stream is
// complete, "error" when it was broken off (HTML Living Standard section 9.2,
// server-sent events).
std::string EncodeStreamEndEvent(const node::CallerAnswer& answer);

}  // namespace bilberry::transport
