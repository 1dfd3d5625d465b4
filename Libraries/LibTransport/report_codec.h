#pragma once

#include <json/value.h>

#include "LibBase/error.h"
#include "LibReport/service_report.h"

namespace bilberry::transport {

// A host's report as JSON-RPC carries it, with all that is needed to merge it.
Json::Value EncodeReport(const report::ServiceReport& report);
base::Result<report::ServiceReport> DecodeReport(const Json::Value& value);

// What operators are told: attainment, burn rates and budgets in place of the
// counts that they follow from. An infinite burn rate is null.
Json::Value EncodeSummary(const report::ServiceReport& report);

}  // namespace bilberry::transport
