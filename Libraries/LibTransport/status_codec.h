#pragma once

#include <json/value.h>

#include "LibBase/error.h"
#include "LibNode/node_status.h"

namespace bilberry::transport {

// JSON encoding of a host's status for operators; docs/OPERATORS.md lists the
// fields.
Json::Value EncodeStatus(const node::NodeStatus& status);
base::Result<node::NodeStatus> DecodeStatus(const Json::Value& value);

}  // namespace bilberry::transport
