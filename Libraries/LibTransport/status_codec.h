#pragma once

#include <json/value.h>

#include "LibBase/error.h"
#include "LibNode/node_status.h"

namespace bilberry::transport {

// A host's status as operators are given it; docs/OPERATORS.md lists the
// fields.
Json::Value EncodeStatus(const node::NodeStatus& status);
base::Result<node::NodeStatus> DecodeStatus(const Json::Value& value);

}  // namespace bilberry::transport
