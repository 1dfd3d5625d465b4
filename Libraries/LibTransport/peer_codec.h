#pragma once

#include <json/value.h>

#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibNode/peer_message.h"

// Encodes the messages between entry hosts as JSON-RPC 2.0 methods and results.
namespace bilberry::transport {

// A message's method name and its parameters.
struct PeerCall {
  std::string method;
  Json::Value parameters;
};

PeerCall EncodePeerMessage(const node::PeerMessage& message);

base::Result<node::PeerMessage> DecodePeerMessage(
    std::string_view method,
    const Json::Value& parameters);

}  // namespace bilberry::transport
