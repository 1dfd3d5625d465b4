#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bilberry::base {

// Returns the first `max_bytes` of the text for a log line: bytes other than
// printable ASCII, backslashes and double quotes are written as \xNN, and "..."
// stands for the rest.
std::string Printable(std::string_view text, size_t max_bytes);

}  // namespace bilberry::base
