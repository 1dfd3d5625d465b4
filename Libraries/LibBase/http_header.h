#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bilberry::base {

struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// Compares header names case-insensitively (RFC 9110 section 5.1).
bool IsSameHeader(std::string_view left, std::string_view right);

// Whether the text can be the name of a header (RFC 9110 section 5.6.2).
bool IsToken(std::string_view text);

// Whether the text can be the value of a header (RFC 9110 section 5.5): no
// control characters but tabs.
bool IsHeaderValue(std::string_view text);

// Returns the value of the first header of this name, or null if there is none.
const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name);

// Returns the number of headers of this name.
size_t CountHeaders(const HttpHeaders& headers, std::string_view name);

}  // namespace bilberry::base
