#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/ids.h"
#include "LibDeclare/fault.h"

namespace bilberry::declare {

// Bootstrap settings of an entry host; everything else is read from the
// platform and from peers.
struct HostSettings {
  base::HostName host;
  base::ZoneName zone;
  base::SocketAddress callers;   // Listens for callers.
  base::SocketAddress peers;     // Listens for peers and operators.
  base::SocketAddress platform;  // The platform's table and object store.
  // Entry hosts that are contacted while the host list names no other entry
  // host or the listed ones don't answer.
  std::vector<base::SocketAddress> seed_peers;
  std::string operator_token;
  std::chrono::milliseconds poll_interval{1000};
  uint32_t max_body_bytes = 1024 * 1024;
  uint32_t max_runs = 10'000;
};

// Parsed settings, valid only if there are no faults.
struct ParsedHostSettings {
  HostSettings settings;
  Faults faults;
};

ParsedHostSettings ParseHostSettings(std::string_view text);

}  // namespace bilberry::declare
