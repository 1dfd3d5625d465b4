#pragma once

#include "LibTransport/http_message.h"

namespace bilberry::transport {

// Whether the headers of a request or a response leave only one way to find the
// end of its body (RFC 9112 section 6.3): at most one length, which is a
// number of at most 63 bits, or one transfer encoding, which is "chunked".
bool IsFramingDefinite(const HttpHeaders& headers);

}  // namespace bilberry::transport
