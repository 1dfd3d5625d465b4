#pragma once

#include <string>

#include "LibReport/service_report.h"

namespace bilberry::report {

// One HTML page that holds all it needs: plots as inline SVG, then the tables.
// `title` stands at its head.
std::string PrintPage(const ServiceReport& report, const std::string& title);

}  // namespace bilberry::report
