#pragma once

#include <string>
#include <variant>

#include "LibBase/ids.h"

// What entry hosts tell each other; each is a JSON-RPC method or its result.
namespace bilberry::node {

// What a host knows, told to a few peers each second.
struct Digest {
  base::HostName host;
  base::Incarnation incarnation{};
  base::Revision revision{};
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
