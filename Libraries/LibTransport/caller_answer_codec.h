#pragma once

#include <string>

#include "LibNode/caller_answer.h"
#include "LibTransport/http_message.h"

namespace bilberry::transport {

// A caller's answer as an HTTP response; docs/CALLERS.md has the contract.
HttpResponse EncodeCallerAnswer(const node::CallerAnswer& answer);

// The event that ends a stream: "end" when it is whole, else "error" (HTML
// Living Standard section 9.2, server-sent events).
std::string EncodeStreamEndEvent(const node::CallerAnswer& answer);

}  // namespace bilberry::transport
