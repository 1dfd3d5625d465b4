#include "LibBase/ids.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace bilberry::base {

namespace {

std::string HexPair(uint64_t first, uint64_t second) {
  std::array<char, 40> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%016" PRIx64 "-%" PRIx64,
                              first, second);
  return {buf.data(), static_cast<size_t>(n)};
}

// Whether the text is a dotted-decimal IPv4 address (RFC 6943 section 3.1.1).
bool IsIpv4Number(std::string_view text) {
  constexpr int kParts = 4;
  const char* at = text.data();
  const char* end = text.data() + text.size();
  for (int i = 0; i < kParts; ++i) {
    uint8_t part = 0;
    const auto [rest, ec] = std::from_chars(at, end, part);
    if (ec != std::errc())
      return false;
    at = rest;
    if (i + 1 == kParts)
      break;
    if (at == end || *at != '.')
      return false;
    ++at;
  }
  return at == end;
}

}  // namespace

std::string ToText(const AttemptId& attempt) {
  return HexPair(static_cast<uint64_t>(attempt.incarnation), attempt.number);
}

std::string ToRequestId(Incarnation incarnation, RunId run) {
  return HexPair(static_cast<uint64_t>(incarnation),
                 static_cast<uint64_t>(run));
}

std::string ToText(const SocketAddress& address) {
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  SocketAddress address;
  address.ip = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [rest, ec] = std::from_chars(port.data(), end, address.port);
  if (ec != std::errc() || rest != end || address.port == 0 ||
      !IsIpv4Number(address.ip))
    return std::nullopt;
  return address;
}

}  // namespace bilberry::base
