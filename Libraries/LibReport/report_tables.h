#pragma once

#include <vector>

#include "LibReport/service_report.h"
#include "LibReport/text_table.h"

namespace bilberry::report {

// The figures that are told of each group of runs.
struct LevelSummary {
  uint64_t runs = 0;
  double attainment_percent = 100.0;  // Since the hosts began.
  double short_burn_rate = 0.0;
  double long_burn_rate = 0.0;
  double budget_left_percent = 100.0;
};

LevelSummary Summarize(const ServiceLevel& level, double target_percent);

// The report's tables: ranks, pipelines, stages and teams. Urgent work comes
// first; within a rank the smallest team does, so that none is overlooked
// beside the large ones.
std::vector<TextTable> TablesOf(const ServiceReport& report);

// The teams of one rank, the smallest first.
std::vector<std::pair<std::string, ServiceLevel>> TeamsBySize(
    const ServiceReport& report,
    declare::Rank rank);

}  // namespace bilberry::report
