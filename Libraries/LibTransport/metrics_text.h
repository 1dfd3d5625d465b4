#pragma once

#include <string>

#include "LibNode/node_status.h"
#include "LibReport/service_report.h"
#include "LibTransport/metric_writer.h"

namespace bilberry::transport {

// A host's figures in the text exposition format of Prometheus, version 0.0.4.
// Labels are declared names alone, so that their number is bounded; teams are
// left to the report.
std::string PrintMetrics(const node::NodeStatus& status,
                         const report::ServiceReport& report);

}  // namespace bilberry::transport
