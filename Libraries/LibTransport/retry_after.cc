#include "LibTransport/retry_after.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>
#include <system_error>

namespace bilberry::transport {

namespace {

constexpr int kUnavailable = 503;
// Cap on an endpoint's Retry-After; the endpoint is tried again after this time
// at the latest.
constexpr std::chrono::hours kLongest{1};

}  // namespace

std::optional<base::Duration> ParseRetryAfter(const HttpResponse& response) {
  const std::string* text = FindHeader(response.headers, kRetryAfterHeader);
  if (response.status != kUnavailable || text == nullptr)
    return std::nullopt;
  double seconds = 0;
  const char* end = text->data() + text->size();
  const auto [rest, ec] = std::from_chars(text->data(), end, seconds);
  if (text->empty() || rest != end || ec != std::errc() || !(seconds > 0))
    return std::nullopt;
  const std::chrono::duration<double> longest = kLongest;
  return std::chrono::ceil<base::Duration>(
      std::min(std::chrono::duration<double>(seconds), longest));
}

}  // namespace bilberry::transport
