#pragma once

#include <string>

#include "LibNode/node_status.h"
#include "LibReport/service_report.h"
#include "LibTransport/metric_writer.h"

namespace bilberry::transport {

// Prints a host's metrics in the Prometheus text exposition format, version
// 0.0.4. Labels hold only declared names, which bounds the cardinality; figures
// by team are only in the report.
std::string PrintMetrics(const node::NodeStatus& status,
                         const report::ServiceReport& report);

}  // namespace bilberry::transport
