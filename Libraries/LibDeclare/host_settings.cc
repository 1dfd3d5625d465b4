#include "LibDeclare/host_settings.h"

#include "LibDeclare/object_reader.h"

namespace bilberry::declare {

namespace {

constexpr uint32_t kMaxPort = 65'535;
constexpr uint32_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr uint32_t kMaxRuns = 1'000'000;
constexpr std::chrono::milliseconds kMaxPollInterval{10'000};

base::SocketAddress ReadAddress(ObjectReader& reader) {
  base::SocketAddress address;
  uint32_t port = 0;
  reader.Read("ip", address.ip, Presence::kRequired);
  reader.Read("port", port, {1U, kMaxPort}, Presence::kRequired);
  address.port = static_cast<uint16_t>(port);
  return address;
}

}  // namespace

ParsedHostSettings ParseHostSettings(std::string_view text) {
  ParsedHostSettings parsed;
  HostSettings& settings = parsed.settings;
  const auto document = ParseJson(text, parsed.faults);
  if (!document)
    return parsed;
  ObjectReader root(*document, document->root, "", parsed.faults);
  root.ReadName("host", settings.host.value, Presence::kRequired);
  root.ReadName("zone", settings.zone.value, Presence::kRequired);
  root.ReadObject("callers", Presence::kRequired, [&](ObjectReader& it) {
    settings.callers = ReadAddress(it);
  });
  root.ReadObject("peers", Presence::kRequired,
                  [&](ObjectReader& it) { settings.peers = ReadAddress(it); });
  root.ReadObject("platform", Presence::kRequired, [&](ObjectReader& it) {
    settings.platform = ReadAddress(it);
  });
  root.ReadObjects("seed_peers", Presence::kOptional, [&](ObjectReader& it) {
    settings.seed_peers.push_back(ReadAddress(it));
  });
  root.Read("operator_token", settings.operator_token, Presence::kRequired);
  root.Read("poll_interval_ms", settings.poll_interval, kMaxPollInterval,
            Presence::kOptional);
  root.Read("max_body_bytes", settings.max_body_bytes, {1U, kMaxBodyBytes},
            Presence::kOptional);
  root.Read("max_runs", settings.max_runs, {1U, kMaxRuns}, Presence::kOptional);
  root.Finish();
  return parsed;
}

}  // namespace bilberry::declare
