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
// The error budget is that of a day.
inline constexpr std::chrono::hours kBudgetWindow{24};

// Stands for all names beyond a label's limit.
inline constexpr const char* kOtherName = "other";

// How deadlines were attained by one group of runs.
struct ServiceLevel {
  Counts total;  // Since the hosts began.
  Counts short_window;
  Counts long_window;
  Counts budget_window;

  ServiceLevel& operator+=(const ServiceLevel& other);

  friend bool operator==(const ServiceLevel&, const ServiceLevel&) = default;
};

// The share met, in percent; 100 when there were no runs.
double AttainmentPercent(const Counts& counts);

// How fast the error budget is spent: 1 spends it just as its period ends.
// `target_percent` is the share that is to be met; with a target of 100 any
// miss is infinitely fast.
double BurnRate(const Counts& counts, double target_percent);

// The part of the budget that is left, in percent; negative when overspent.
double BudgetLeftPercent(const Counts& counts, double target_percent);

// A pipeline's or a team's runs of one rank; sorts urgent work first.
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

// Runs by RunOutcome.
using OutcomeCounts = std::array<uint64_t, kRunOutcomeCount>;

// One rank, or one pipeline at one rank.
struct LatencyLevel {
  ServiceLevel level;
  LatencyHistogram latency;  // Of runs that were answered whole.
};

// Where the time of one stage went.
struct StageLevel {
  ServiceLevel level;     // Of the runs that reached the stage.
  uint64_t position = 0;  // Of the stage in its pipeline.
  uint64_t attempts = 0;
  LatencyHistogram queue_wait;
  LatencyHistogram service;
  base::Duration waited{0};
  base::Duration spent{0};   // Service time, which is what a stage costs.
  base::Duration wasted{0};  // The part of it that went to runs that missed.
};

// What one host, or many together, have served.
struct ServiceReport {
  uint64_t hosts = 0;
  // Of each rank, in percent; as in the newest configuration that was met.
  std::array<double, declare::kRankCount> targets{};
  uint64_t revision = 0;
  // Refused before there was a configuration to tell their rank.
  uint64_t refused_unready = 0;
  std::map<declare::Rank, LatencyLevel> ranks;
  std::map<RankedName, OutcomeCounts> outcomes;  // By pipeline.
  std::map<RankedName, LatencyLevel> pipelines;
  std::map<StageKey, StageLevel> stages;
  std::map<RankedName, ServiceLevel> teams;

  double TargetOf(declare::Rank rank) const;
  void Merge(const ServiceReport& other);
};

}  // namespace bilberry::report
