#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bilberry::booking {

// Encodes arbitrary bytes as text for JSON, which carries only UTF-8 (RFC 8259
// section 8.1): each byte becomes the code point of its value. ASCII is
// unchanged.
std::string BytesToText(std::string_view bytes);

// Decodes BytesToText(); empty when the text contains a code point above U+00FF
// or is malformed.
std::optional<std::string> TextToBytes(std::string_view text);

}  // namespace bilberry::booking
