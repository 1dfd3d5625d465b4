#include "LibBase/printable.h"

namespace bilberry::base {

std::string Printable(std::string_view text, size_t max_bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string printed;
  for (const char it : text.substr(0, max_bytes)) {
    const auto byte = static_cast<unsigned char>(it);
    const bool is_printable =
        byte >= ' ' && byte < 0x7f && it != '\\' && it != '"';
    if (is_printable) {
      printed += it;
      continue;
    }
    printed += "\\x";
    printed += kDigits[byte >> 4U];
    printed += kDigits[byte & 0xfU];
  }
  if (text.size() > max_bytes)
    printed += "...";
  return printed;
}

}  // namespace bilberry::base
