#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/ids.h"
#include "LibDeclare/fault.h"

namespace bilberry::declare {

// What one entry host needs to know before it can learn the rest.
struct HostSettings {
  base::HostName host;
  base::ZoneName zone;
  base::SocketAddress callers;   // Where callers are answered.
  base::SocketAddress peers;     // Where peers and operators are answered.
  base::SocketAddress platform;  // The platform's table and object store.
  // Peers asked for the configuration while the platform can't be reached.
  std::vector<base::SocketAddress> seed_peers;
  std::string operator_token;
  std::chrono::milliseconds poll_interval{1000};
  uint32_t max_body_bytes = 1024 * 1024;
  uint32_t max_runs = 10'000;
};

// Settings are usable only when there are no faults.
struct ParsedHostSettings {
  HostSettings settings;
  Faults faults;
};

ParsedHostSettings ParseHostSettings(std::string_view text);

}  // namespace bilberry::declare
