#include "LibTransport/message_framing.h"

#include <charconv>
#include <cstdint>
#include <limits>
#include <string_view>
#include <system_error>

namespace bilberry::transport {

namespace {

// libcurl reads a body of a greater length until its connection ends.
constexpr uint64_t kMaxLength = std::numeric_limits<int64_t>::max();

bool IsLength(std::string_view text) {
  uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, length);
  return ec == std::errc() && rest == end && length <= kMaxLength;
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
    return IsLength(*length);
  const std::string* encoding = FindHeader(headers, kEncoding);
  return encoding == nullptr || base::IsSameHeader(*encoding, "chunked");
}

}  // namespace bilberry::transport
