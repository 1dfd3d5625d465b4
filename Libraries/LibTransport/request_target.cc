#include "LibTransport/request_target.h"

#include <curl/curl.h>

#include <algorithm>
#include <utility>

namespace bilberry::transport {

namespace {

std::string Decode(std::string_view text) {
  std::string encoded(text);
  if (text.find('%') == std::string_view::npos)
    return encoded;
  int size = 0;
  char* decoded = curl_easy_unescape(nullptr, encoded.data(),
                                     static_cast<int>(encoded.size()), &size);
  if (decoded == nullptr)
    return encoded;
  std::string copy(decoded, static_cast<size_t>(size));
  curl_free(decoded);
  return copy;
}

// In a query, a plus sign stands for a space.
std::string DecodeArgument(std::string_view text) {
  std::string spaced(text);
  std::ranges::replace(spaced, '+', ' ');
  return Decode(spaced);
}

}  // namespace

RequestTarget ParseTarget(std::string_view target) {
  const size_t mark = target.find('?');
  RequestTarget parsed;
  parsed.path = Decode(target.substr(0, mark));
  if (mark == std::string_view::npos)
    return parsed;
  std::string_view query = target.substr(mark + 1);
  while (!query.empty()) {
    const size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const size_t equals = std::min(pair.find('='), pair.size());
    if (!pair.empty())
      parsed.arguments.push_back(
          {DecodeArgument(pair.substr(0, equals)),
           DecodeArgument(pair.substr(std::min(equals + 1, pair.size())))});
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return parsed;
}

}  // namespace bilberry::transport
