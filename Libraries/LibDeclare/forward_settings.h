#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "LibBase/ids.h"
#include "LibDeclare/fault.h"

namespace bilberry::declare {

// Bootstrap settings of an entry host that forwards requests; everything else
// is read from the store.
struct ForwardSettings {
  base::HostName host;
  base::ZoneName zone;
  base::SocketAddress callers;    // Listens for callers.
  base::SocketAddress readiness;  // Listens for readiness probes.
  base::SocketAddress peers;      // Listens for other entry hosts.
  base::SocketAddress store;      // The platform's store.
  double cores = 1;               // CPU capacity of this host, in cores.
  double link_mbps = 0;           // Network bandwidth; 0 if unknown.
  // Memory in MiB and file descriptors that the machine grants the process.
  // Empty if unknown.
  std::optional<uint32_t> memory_mb;
  std::optional<uint32_t> max_fds;
  // Retries of a pool that all hosts together may make within the retry
  // budget's window of a few seconds, in addition to a share of the pool's
  // requests. Empty if unknown.
  std::optional<uint32_t> retry_allowance;
  // Bound on the requests that all hosts together send to a cold endpoint
  // within any second: a factor on the rate that the endpoint can take, and an
  // allowance on top. Empty if unknown.
  std::optional<double> cold_factor;
  std::optional<double> cold_allowance;
  // Time from the request to stop until the process is killed.
  std::chrono::milliseconds stop_grace{8000};

  friend bool operator==(const ForwardSettings&,
                         const ForwardSettings&) = default;
};

// Parsed settings, valid only if there are no faults.
struct ParsedForwardSettings {
  ForwardSettings settings;
  Faults faults;
};

ParsedForwardSettings ParseForwardSettings(std::string_view text);

}  // namespace bilberry::declare
