#include "LibReport/report_tables.h"

#include <algorithm>
#include <tuple>

namespace bilberry::report {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1e3;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kPercent = 100.0;

using Row = std::vector<std::string>;

std::string MillisecondsText(base::Duration duration) {
  return NumberText(static_cast<double>(duration.count()) /
                    kMicrosecondsPerMillisecond);
}

std::string SecondsText(base::Duration duration) {
  return NumberText(static_cast<double>(duration.count()) /
                    kMicrosecondsPerSecond);
}

std::string ShareText(double part, double whole) {
  return NumberText(whole <= 0 ? 0.0 : kPercent * part / whole);
}

void AppendSummary(Row& row, const ServiceLevel& level, double target) {
  const LevelSummary summary = Summarize(level, target);
  row.push_back(std::to_string(summary.runs));
  row.push_back(NumberText(summary.attainment_percent));
  row.push_back(NumberText(target));
  row.push_back(NumberText(summary.short_burn_rate));
  row.push_back(NumberText(summary.long_burn_rate));
  row.push_back(NumberText(summary.budget_left_percent));
}

void AppendLatency(Row& row, const LatencyHistogram& latency) {
  for (const double quantile : {0.5, 0.95, 0.99})
    row.push_back(MillisecondsText(latency.Quantile(quantile)));
}

Row HeadWith(Row first, const Row& last) {
  const Row summary{"runs",    "met %",   "target %",
                    "burn 5m", "burn 1h", "budget left %"};
  first.insert(first.end(), summary.begin(), summary.end());
  first.insert(first.end(), last.begin(), last.end());
  return first;
}

const Row kLatencyHead{"p50 ms", "p95 ms", "p99 ms"};

TextTable RankTable(const ServiceReport& report) {
  TextTable table{"By rank", HeadWith({"rank"}, kLatencyHead), {}};
  for (const auto& [rank, it] : report.ranks) {
    Row row{std::string(ToText(rank))};
    AppendSummary(row, it.level, report.TargetOf(rank));
    AppendLatency(row, it.latency);
    table.rows.push_back(std::move(row));
  }
  return table;
}

TextTable PipelineTable(const ServiceReport& report) {
  TextTable table{
      "By pipeline", HeadWith({"pipeline", "rank"}, kLatencyHead), {}};
  for (const auto& [key, it] : report.pipelines) {
    Row row{key.name, std::string(ToText(key.rank))};
    AppendSummary(row, it.level, report.TargetOf(key.rank));
    AppendLatency(row, it.latency);
    table.rows.push_back(std::move(row));
  }
  return table;
}

// Sorts stages by the rank of their pipeline, the most urgent first, then in
// the pipeline's order. A pipeline with runs of several ranks is sorted by the
// most urgent one.
std::vector<StageKey> StagesByRank(const ServiceReport& report) {
  std::map<std::string, declare::Rank> ranks;
  for (const auto& [key, it] : report.pipelines)
    ranks.emplace(key.name, key.rank);
  std::vector<StageKey> keys;
  for (const auto& [key, it] : report.stages)
    keys.push_back(key);
  std::ranges::stable_sort(keys, {}, [&](const StageKey& key) {
    const auto it = ranks.find(key.pipeline);
    const auto rank =
        it == ranks.end() ? declare::Rank::kBackground : it->second;
    return std::tuple(rank, key.pipeline, report.stages.at(key).position);
  });
  return keys;
}

TextTable StageTable(const ServiceReport& report) {
  TextTable table{
      "By stage: where the time went, and what it cost",
      {"pipeline", "stage", "runs", "met %", "attempts", "wait p50 ms",
       "wait p95 ms", "service p50 ms", "service p95 ms", "waited s", "spent s",
       "wasted s", "wasted %"},
      {}};
  for (const StageKey& key : StagesByRank(report)) {
    const StageLevel& it = report.stages.at(key);
    table.rows.push_back(
        {key.pipeline, key.stage, std::to_string(it.level.total.total()),
         NumberText(AttainmentPercent(it.level.total)),
         std::to_string(it.attempts),
         MillisecondsText(it.queue_wait.Quantile(0.5)),
         MillisecondsText(it.queue_wait.Quantile(0.95)),
         MillisecondsText(it.service.Quantile(0.5)),
         MillisecondsText(it.service.Quantile(0.95)), SecondsText(it.waited),
         SecondsText(it.spent), SecondsText(it.wasted),
         ShareText(static_cast<double>(it.wasted.count()),
                   static_cast<double>(it.spent.count()))});
  }
  return table;
}

void AppendTeams(TextTable& table,
                 const ServiceReport& report,
                 declare::Rank rank) {
  const auto teams = TeamsBySize(report, rank);
  uint64_t all_runs = 0;
  for (const auto& [name, level] : teams)
    all_runs += level.total.total();
  for (const auto& [name, level] : teams) {
    Row row{name, std::string(ToText(rank))};
    AppendSummary(row, level, report.TargetOf(rank));
    row.push_back(ShareText(static_cast<double>(level.total.total()),
                            static_cast<double>(all_runs)));
    table.rows.push_back(std::move(row));
  }
}

TextTable TeamTable(const ServiceReport& report) {
  TextTable table{"By team, the smallest of each rank first",
                  HeadWith({"team", "rank"}, {"% of rank's runs"}),
                  {}};
  for (const declare::Rank rank : declare::kRanks)
    AppendTeams(table, report, rank);
  return table;
}

}  // namespace

LevelSummary Summarize(const ServiceLevel& level, double target_percent) {
  return {level.total.total(), AttainmentPercent(level.total),
          BurnRate(level.short_window, target_percent),
          BurnRate(level.long_window, target_percent),
          BudgetLeftPercent(level.budget_window, target_percent)};
}

std::vector<std::pair<std::string, ServiceLevel>> TeamsBySize(
    const ServiceReport& report,
    declare::Rank rank) {
  std::vector<std::pair<std::string, ServiceLevel>> teams;
  for (const auto& [key, level] : report.teams) {
    if (key.rank == rank)
      teams.emplace_back(key.name, level);
  }
  std::ranges::stable_sort(
      teams, {}, [](const auto& it) { return it.second.total.total(); });
  return teams;
}

std::vector<TextTable> TablesOf(const ServiceReport& report) {
  return {RankTable(report), PipelineTable(report), StageTable(report),
          TeamTable(report)};
}

}  // namespace bilberry::report
