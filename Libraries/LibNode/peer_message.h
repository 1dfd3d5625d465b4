#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibPolicy/quarantine.h"

// What entry hosts tell each other; each is a JSON-RPC method or its result.
namespace bilberry::node {

// A host or endpoint that is leaving, in this incarnation.
struct LeavingMark {
  std::string name;
  base::Incarnation incarnation{};

  friend bool operator==(const LeavingMark&, const LeavingMark&) = default;
};

// What the sender itself has at a pool.
struct PoolShare {
  base::PoolName pool;
  uint32_t in_flight = 0;
  uint32_t queued = 0;

  friend bool operator==(const PoolShare&, const PoolShare&) = default;
};

// What a host knows, told to a few peers each second. Lists hold what is new or
// recent, never all, and have limits.
struct Digest {
  base::HostName host;
  base::Incarnation incarnation{};
  base::Revision revision{};
  std::vector<LeavingMark> leaving;
  std::vector<std::string> quarantined;  // Digests of requests.
  // Requests in flight at endpoints that the sender saw die.
  std::vector<policy::Suspicion> suspected;
  std::vector<PoolShare> shares;

  friend bool operator==(const Digest&, const Digest&) = default;
};

// Asks for the configuration, if it is newer than `revision`.
struct ConfigurationQuery {
  base::Revision revision{};
};

// The configuration in force at the one who answers; an empty document when
// nothing newer is known.
struct ConfigurationOffer {
  base::Revision revision{};
  std::string document;
};

using PeerMessage =
    std::variant<Digest, ConfigurationQuery, ConfigurationOffer>;

}  // namespace bilberry::node
