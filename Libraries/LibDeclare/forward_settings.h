#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "LibBase/ids.h"
#include "LibDeclare/fault.h"

namespace bilberry::declare {

// What an entry host that forwards requests needs to know before it can learn
// the rest from the store.
struct ForwardSettings {
  base::HostName host;
  base::ZoneName zone;
  base::SocketAddress callers;    // Where callers are answered.
  base::SocketAddress readiness;  // Where the balancer looks.
  base::SocketAddress peers;      // Where other entry hosts are answered.
  base::SocketAddress store;      // The platform's.
  double cores = 1;               // This host's part of a processor.
  double link_mbps = 0;           // What its network link carries; 0: unknown.
  // How many retries of a pool all hosts together may make within some seconds,
  // beside a part of its requests; empty if that isn't known.
  std::optional<uint32_t> retry_allowance;
  // What all hosts together may send a cold endpoint in any second: so many
  // times what it bears, and some more; empty if that isn't known.
  std::optional<double> cold_factor;
  std::optional<double> cold_allowance;
  // From the order to stop until the process is killed.
  std::chrono::milliseconds stop_grace{8000};

  friend bool operator==(const ForwardSettings&,
                         const ForwardSettings&) = default;
};

// Settings are usable only when there are no faults.
struct ParsedForwardSettings {
  ForwardSettings settings;
  Faults faults;
};

ParsedForwardSettings ParseForwardSettings(std::string_view text);

}  // namespace bilberry::declare
