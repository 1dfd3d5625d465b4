#include "LibBooking/byte_text.h"

#include <cstddef>

namespace bilberry::booking {

namespace {

// UTF-8 encoding of U+0080 to U+00FF: 110000xx 10xxxxxx (RFC 3629 section 3).
constexpr unsigned kFirstNonAscii = 0x80;
constexpr unsigned kLeadMark = 0xC0;
constexpr unsigned kLeadMask = 0xFC;
constexpr unsigned kTailMark = 0x80;
constexpr unsigned kTailMask = 0xC0;
constexpr unsigned kTailBits = 6;
constexpr unsigned kTailValue = 0x3F;

}  // namespace

std::string BytesToText(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const unsigned byte = static_cast<unsigned char>(c);
    if (byte < kFirstNonAscii) {
      text.push_back(c);
      continue;
    }
    text.push_back(static_cast<char>(kLeadMark | (byte >> kTailBits)));
    text.push_back(static_cast<char>(kTailMark | (byte & kTailValue)));
  }
  return text;
}

std::optional<std::string> TextToBytes(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    const unsigned lead = static_cast<unsigned char>(text[i]);
    if (lead < kFirstNonAscii) {
      bytes.push_back(text[i]);
      continue;
    }
    if ((lead & kLeadMask) != kLeadMark || ++i == text.size())
      return std::nullopt;
    const unsigned tail = static_cast<unsigned char>(text[i]);
    if ((tail & kTailMask) != kTailMark)
      return std::nullopt;
    bytes.push_back(static_cast<char>(((lead & ~kLeadMask) << kTailBits) |
                                      (tail & kTailValue)));
  }
  return bytes;
}

}  // namespace bilberry::booking
