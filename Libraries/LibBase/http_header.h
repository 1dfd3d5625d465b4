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

// Compares header names without case (RFC 9110 section 5.1).
bool IsSameHeader(std::string_view left, std::string_view right);

// The first value of a header; null when there is none.
const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name);

// How many headers have this name.
size_t CountHeaders(const HttpHeaders& headers, std::string_view name);

}  // namespace bilberry::base
