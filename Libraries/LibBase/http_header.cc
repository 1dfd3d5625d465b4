#include "LibBase/http_header.h"

#include <algorithm>

namespace bilberry::base {

namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsTokenCharacter(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (ToLower(c) >= 'a' && ToLower(c) <= 'z') ||
         kMarks.find(c) != std::string_view::npos;
}

bool IsValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

}  // namespace

bool IsSameHeader(std::string_view left, std::string_view right) {
  return std::ranges::equal(
      left, right, [](char a, char b) { return ToLower(a) == ToLower(b); });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

bool IsHeaderValue(std::string_view text) {
  return std::ranges::all_of(text, IsValueCharacter);
}

const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name) {
  const auto it = std::ranges::find_if(headers, [name](const HttpHeader& it) {
    return IsSameHeader(it.name, name);
  });
  return it == headers.end() ? nullptr : &it->value;
}

size_t CountHeaders(const HttpHeaders& headers, std::string_view name) {
  return static_cast<size_t>(std::ranges::count_if(
      headers,
      [name](const HttpHeader& it) { return IsSameHeader(it.name, name); }));
}

}  // namespace bilberry::base
