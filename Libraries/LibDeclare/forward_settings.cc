#include "LibDeclare/forward_settings.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibDeclare/object_reader.h"

namespace bilberry::declare {

namespace {

constexpr double kMaxCores = 1024;
constexpr double kMinCores = 0.01;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr uint32_t kMinMemoryMb = 16;
constexpr uint32_t kMaxMemoryMb = 16'777'216;
constexpr uint32_t kMinDescriptors = 64;
constexpr uint32_t kMaxDescriptors = 1'000'000'000;
constexpr double kMaxGraceSeconds = 3600;
constexpr double kMaxRetryAllowance = 1e6;
constexpr double kMaxColdFactor = 1000;
constexpr double kMaxColdAllowance = 1e6;

void ReadAddress(ObjectReader& reader,
                 const char* key,
                 base::SocketAddress& address) {
  std::string text;
  reader.Read(key, text, Presence::kRequired);
  if (!reader.Has(key))
    return;
  if (const auto parsed = base::ParseSocketAddress(text))
    address = *parsed;
  else
    reader.AddFault(key, "\"" + text + "\" is not an IPv4 address with a port",
                    "IP:PORT");
}

void ReadCount(ObjectReader& reader,
               const char* key,
               std::pair<uint32_t, uint32_t> range,
               std::optional<uint32_t>& out) {
  uint32_t count = 0;
  reader.Read(key, count, range, Presence::kOptional);
  if (reader.Has(key))
    out = count;
}

std::optional<double> NumberIn(std::string_view text, double most) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end || !(number >= 0 && number <= most))
    return std::nullopt;
  return number;
}

// Reads the factor and the allowance of the cold bound, separated by a comma.
// The platform writes a comma alone if it knows neither.
void ReadColdBound(ObjectReader& reader,
                   const char* key,
                   ForwardSettings& settings) {
  std::string text;
  reader.Read(key, text, Presence::kOptional);
  if (text.empty() || text == ",")
    return;
  const std::string_view all = text;
  const size_t comma = std::min(all.find(','), all.size());
  const auto factor = NumberIn(all.substr(0, comma), kMaxColdFactor);
  const auto allowance =
      NumberIn(all.substr(std::min(comma + 1, all.size())), kMaxColdAllowance);
  if (!factor || !allowance) {
    reader.AddFault(key, "\"" + text + "\" is not a pair of numbers",
                    "write FACTOR,ALLOWANCE or a comma alone");
    return;
  }
  settings.cold_factor = factor;
  settings.cold_allowance = allowance;
}

}  // namespace

ParsedForwardSettings ParseForwardSettings(std::string_view text) {
  ParsedForwardSettings parsed;
  ForwardSettings& settings = parsed.settings;
  const auto document = ParseJson(text, parsed.faults);
  if (!document)
    return parsed;
  ObjectReader root(*document, document->root, "", parsed.faults);
  root.ReadName("host", settings.host.value, Presence::kRequired);
  root.ReadName("zone", settings.zone.value, Presence::kRequired);
  ReadAddress(root, "callers", settings.callers);
  ReadAddress(root, "readiness", settings.readiness);
  ReadAddress(root, "peers", settings.peers);
  ReadAddress(root, "store", settings.store);
  root.Read("cores", settings.cores, {kMinCores, kMaxCores},
            Presence::kOptional);
  root.Read("link_mbps", settings.link_mbps, {0, kMaxLinkMbps},
            Presence::kOptional);
  ReadCount(root, "memory_mb", {kMinMemoryMb, kMaxMemoryMb},
            settings.memory_mb);
  ReadCount(root, "max_fds", {kMinDescriptors, kMaxDescriptors},
            settings.max_fds);
  double grace_seconds = 0;
  root.Read("stop_grace_s", grace_seconds, {0, kMaxGraceSeconds},
            Presence::kOptional);
  if (root.Has("stop_grace_s"))
    settings.stop_grace = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(grace_seconds));
  double retry_allowance = 0;
  root.Read("retry_slack", retry_allowance, {0, kMaxRetryAllowance},
            Presence::kOptional);
  if (root.Has("retry_slack"))
    settings.retry_allowance = static_cast<uint32_t>(retry_allowance);
  ReadColdBound(root, "cold_bound", settings);
  root.Finish();
  return parsed;
}

}  // namespace bilberry::declare
