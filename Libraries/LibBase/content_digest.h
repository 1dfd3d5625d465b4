#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace bilberry::base {

// Returns a digest of the parts, in hexadecimal digits, to recognize repeats of
// a request. All parts but the last must be free of zero bytes.
std::string DigestOf(std::initializer_list<std::string_view> parts);

}  // namespace bilberry::base
