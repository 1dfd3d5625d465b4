#include "LibTransport/message_framing.h"

#include <charconv>
#include <cstdint>
#include <limits>
#include <string_view>
#include <system_error>

namespace bilberry::transport {

namespace {

constexpr const char* kLength = "Content-Length";
constexpr const char* kEncoding = "Transfer-Encoding";
// libcurl reads a body of a greater length until its connection ends.
constexpr uint64_t kMaxLength = std::numeric_limits<int64_t>::max();

bool IsLength(std::string_view text) {
  uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, length);
  return ec == std::errc() && rest == end && length <= kMaxLength;
}

size_t CountFramingHeaders(const HttpHeaders& headers) {
  return base::CountHeaders(headers, kLength) +
         base::CountHeaders(headers, kEncoding);
}

}  // namespace

bool IsFramingDefinite(const HttpHeaders& headers, HttpVersion version) {
  if (CountFramingHeaders(headers) > 1)
    return false;
  if (const std::string* length = FindHeader(headers, kLength))
    return IsLength(*length);
  const std::string* encoding = FindHeader(headers, kEncoding);
  return encoding == nullptr || (version != HttpVersion::kHttp10 &&
                                 base::IsSameHeader(*encoding, "chunked"));
}

bool HasFraming(const HttpHeaders& headers) {
  return CountFramingHeaders(headers) > 0;
}

}  // namespace bilberry::transport
