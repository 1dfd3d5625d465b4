#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bilberry::booking {

// Bytes as text for JSON, which carries no other than UTF-8 (RFC 8259 section
// 8.1): each byte is the code point of its value. ASCII stays as it is.
std::string BytesToText(std::string_view bytes);

// Empty when the text has a code point above U+00FF or is malformed.
std::optional<std::string> TextToBytes(std::string_view text);

}  // namespace bilberry::booking
