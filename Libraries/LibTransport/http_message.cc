#include "LibTransport/http_message.h"

#include <strings.h>

#include <algorithm>

namespace bilberry::transport {

const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name) {
  const auto it = std::ranges::find_if(headers, [&](const HttpHeader& header) {
    return header.name.size() == name.size() &&
           strncasecmp(header.name.c_str(), name.data(), name.size()) == 0;
  });
  return it == headers.end() ? nullptr : &it->value;
}

}  // namespace bilberry::transport
