#pragma once

#include <vector>

#include "LibBase/error.h"
#include "LibBase/ids.h"
#include "LibNode/node_status.h"
#include "LibReport/text_table.h"

namespace bilberry::operators {

// The answer of one entry host.
struct HostAnswer {
  base::SocketAddress address;
  base::Result<node::NodeStatus> status;
};

// A table of all hosts, including those without an answer, and a table of their
// pools.
std::vector<report::TextTable> TablesOf(const std::vector<HostAnswer>& answers);

}  // namespace bilberry::operators
