#pragma once

#include <string>

#include "LibReport/service_report.h"

namespace bilberry::report {

// Returns a self-contained HTML page: plots as inline SVG, followed by the
// tables. `title` is its heading.
std::string PrintPage(const ServiceReport& report, const std::string& title);

}  // namespace bilberry::report
