#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "LibDeclare/configuration.h"
#include "LibReport/ended_run.h"
#include "LibReport/latency_histogram.h"
#include "LibReport/rolling_counts.h"

namespace bilberry::report {

inline constexpr std::chrono::minutes kShortWindow{5};
inline constexpr std::chrono::minutes kLongWindow{60};
// The period of the error budget is one day.
inline constexpr std::chrono::hours kBudgetWindow{24};

// Label of all names beyond a label's limit.
inline constexpr const char* kOtherName = "other";

// Deadline attainment of one group of runs.
struct ServiceLevel {
  Counts total;  // Since the hosts started.
  Counts short_window;
  Counts long_window;
  Counts budget_window;

  ServiceLevel& operator+=(const ServiceLevel& other);

  friend bool operator==(const ServiceLevel&, const ServiceLevel&) = default;
};

// The share of met deadlines in percent; 100 if there were no runs.
double AttainmentPercent(const Counts& counts);

// Rate at which the error budget is spent; at 1 the budget lasts exactly for
// its period. `target_percent` is the target share of met deadlines; with a
// target of 100 any miss makes the rate infinite.
double BurnRate(const Counts& counts, double target_percent);

// The remaining share of the error budget in percent; negative when overspent.
double BudgetLeftPercent(const Counts& counts, double target_percent);

// Name of a pipeline or a team at one rank; sorts the most urgent rank first.
struct RankedName {
  declare::Rank rank = declare::Rank::kOrdinary;
  std::string name;

  friend auto operator<=>(const RankedName&, const RankedName&) = default;
};

struct StageKey {
  std::string pipeline;
  std::string stage;

  friend auto operator<=>(const StageKey&, const StageKey&) = default;
};

// Number of runs, indexed by RunOutcome.
using OutcomeCounts = std::array<uint64_t, kRunOutcomeCount>;

// Service level and latency of one rank, or of one pipeline at one rank.
struct LatencyLevel {
  ServiceLevel level;
  LatencyHistogram latency;  // Of completely answered runs.
};

// Attempts and time of one stage.
struct StageLevel {
  ServiceLevel level;     // Of the runs that reached this stage.
  uint64_t position = 0;  // Index of the stage in its pipeline.
  uint64_t attempts = 0;
  LatencyHistogram queue_wait;
  LatencyHistogram service;
  base::Duration waited{0};
  base::Duration spent{0};   // Total service time, the cost of the stage.
  base::Duration wasted{0};  // Service time of runs that missed their deadline.
};

// Service levels of one host, or merged over several hosts.
struct ServiceReport {
  uint64_t hosts = 0;
  // Target of each rank in percent, as in the configuration with the highest
  // merged revision.
  std::array<double, declare::kRankCount> targets{};
  uint64_t revision = 0;
  // Requests refused before the host had a configuration to determine their
  // rank.
  uint64_t refused_unready = 0;
  std::map<declare::Rank, LatencyLevel> ranks;
  std::map<RankedName, OutcomeCounts> outcomes;  // Per pipeline.
  std::map<RankedName, LatencyLevel> pipelines;
  std::map<StageKey, StageLevel> stages;
  std::map<RankedName, ServiceLevel> teams;

  double TargetOf(declare::Rank rank) const;
  void Merge(const ServiceReport& other);
};

}  // namespace bilberry::report
