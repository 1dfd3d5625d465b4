#pragma once

#include <json/value.h>

#include "LibBase/error.h"
#include "LibReport/service_report.h"

namespace bilberry::transport {

// Encodes a host's report for JSON-RPC, with all counts that are needed to
// merge reports.
Json::Value EncodeReport(const report::ServiceReport& report);
base::Result<report::ServiceReport> DecodeReport(const Json::Value& value);

// Encodes the report for operators, with attainment, burn rates and remaining
// budgets in place of the underlying counts. An infinite burn rate is null.
Json::Value EncodeSummary(const report::ServiceReport& report);

}  // namespace bilberry::transport
