#pragma once

#include <vector>

#include "LibReport/service_report.h"
#include "LibReport/text_table.h"

namespace bilberry::report {

// The figures shown for each group of runs.
struct LevelSummary {
  uint64_t runs = 0;
  double attainment_percent = 100.0;  // Since the hosts started.
  double short_burn_rate = 0.0;
  double long_burn_rate = 0.0;
  double budget_left_percent = 100.0;
};

LevelSummary Summarize(const ServiceLevel& level, double target_percent);

// The report's tables by rank, pipeline, stage and team. The most urgent rank
// comes first; within a rank teams are sorted by size in ascending order so
// that small teams aren't overlooked.
std::vector<TextTable> TablesOf(const ServiceReport& report);

// The teams of one rank in ascending order of their runs.
std::vector<std::pair<std::string, ServiceLevel>> TeamsBySize(
    const ServiceReport& report,
    declare::Rank rank);

}  // namespace bilberry::report
