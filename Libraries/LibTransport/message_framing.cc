#include "LibTransport/message_framing.h"

#include <algorithm>
#include <string_view>

namespace bilberry::transport {

namespace {

bool IsNumber(std::string_view text) {
  return !text.empty() &&
         std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

bool IsFramingDefinite(const HttpHeaders& headers) {
  constexpr const char* kLength = "Content-Length";
  constexpr const char* kEncoding = "Transfer-Encoding";
  if (base::CountHeaders(headers, kLength) +
          base::CountHeaders(headers, kEncoding) >
      1)
    return false;
  const std::string* length = FindHeader(headers, kLength);
  if (length != nullptr)
    return IsNumber(*length);
  const std::string* encoding = FindHeader(headers, kEncoding);
  return encoding == nullptr || base::IsSameHeader(*encoding, "chunked");
}

}  // namespace bilberry::transport
