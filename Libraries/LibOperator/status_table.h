#pragma once

#include <vector>

#include "LibBase/error.h"
#include "LibBase/ids.h"
#include "LibNode/node_status.h"
#include "LibReport/text_table.h"

namespace bilberry::operators {

// What one entry host answered.
struct HostAnswer {
  base::SocketAddress address;
  base::Result<node::NodeStatus> status;
};

// A table of hosts, those without an answer included, and one of their pools.
std::vector<report::TextTable> TablesOf(const std::vector<HostAnswer>& answers);

}  // namespace bilberry::operators
