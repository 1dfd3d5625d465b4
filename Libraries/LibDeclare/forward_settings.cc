#include "LibDeclare/forward_settings.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "LibDeclare/object_reader.h"

namespace bilberry::declare {

namespace {

constexpr double kMostCores = 1024;
constexpr double kFewestCores = 0.01;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr double kLongestGraceSeconds = 3600;
constexpr double kMostRetrySlack = 1e6;
constexpr double kMostColdOver = 1000;
constexpr double kMostColdSlack = 1e6;

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
    reader.AddFault(key, "\"" + text + "\" is no address", "IP:PORT");
}

std::optional<double> NumberIn(std::string_view text, double most) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end || !(number >= 0 && number <= most))
    return std::nullopt;
  return number;
}

// Two numbers with a comma between them, which stands alone where the platform
// knows none.
void ReadColdBound(ObjectReader& reader,
                   const char* key,
                   ForwardSettings& settings) {
  std::string text;
  reader.Read(key, text, Presence::kOptional);
  if (text.empty() || text == ",")
    return;
  const std::string_view all = text;
  const size_t comma = std::min(all.find(','), all.size());
  const auto over = NumberIn(all.substr(0, comma), kMostColdOver);
  const auto slack =
      NumberIn(all.substr(std::min(comma + 1, all.size())), kMostColdSlack);
  if (!over || !slack) {
    reader.AddFault(key, "\"" + text + "\" holds no two numbers",
                    "OVER,SLACK, or a comma alone");
    return;
  }
  settings.cold_factor = over;
  settings.cold_allowance = slack;
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
  root.Read("cores", settings.cores, {kFewestCores, kMostCores},
            Presence::kOptional);
  root.Read("link_mbps", settings.link_mbps, {0, kMaxLinkMbps},
            Presence::kOptional);
  double grace_seconds = 0;
  root.Read("stop_grace_s", grace_seconds, {0, kLongestGraceSeconds},
            Presence::kOptional);
  if (root.Has("stop_grace_s"))
    settings.stop_grace = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(grace_seconds));
  double retry_allowance = 0;
  root.Read("retry_slack", retry_allowance, {0, kMostRetrySlack},
            Presence::kOptional);
  if (root.Has("retry_slack"))
    settings.retry_allowance = static_cast<uint32_t>(retry_allowance);
  ReadColdBound(root, "cold_bound", settings);
  root.Finish();
  return parsed;
}

}  // namespace bilberry::declare
