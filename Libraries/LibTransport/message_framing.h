#pragma once

#include "LibTransport/http_message.h"

namespace bilberry::transport {

enum class HttpVersion { kHttp10, kHttp11 };

// Whether the headers of a request or an answer leave only one way to find the
// end of its body (RFC 9112 section 6.3): at most one length, which is a
// number of at most 63 bits, or one transfer encoding, which is "chunked" and
// which HTTP/1.0 doesn't have.
bool IsFramingDefinite(const HttpHeaders& headers, HttpVersion version);

// Whether a header says how to find the end of the body.
bool HasFraming(const HttpHeaders& headers);

}  // namespace bilberry::transport
