#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "LibBase/random.h"
#include "LibTransport/http_message.h"

namespace bilberry::transport {

// Reads the bytes of a connection, from its first to its end, as the grammar of
// RFC 9112 does (sections 4 to 7); empty if they don't begin with a whole
// answer. Written apart from the product's reader, to compare the two.
std::optional<HttpResponse> ReadStrictly(std::string_view bytes);

// Changes, drops or doubles a byte, or moves a line.
std::string Mutate(std::string bytes, base::Random& random);

}  // namespace bilberry::transport
