#include "LibReport/service_report.h"

#include <limits>

namespace bilberry::report {

namespace {

constexpr double kWhole = 100.0;

void MergeInto(ServiceLevel& into, const ServiceLevel& from) {
  into += from;
}

void MergeInto(LatencyLevel& into, const LatencyLevel& from) {
  into.level += from.level;
  into.latency.Merge(from.latency);
}

void MergeInto(StageLevel& into, const StageLevel& from) {
  into.level += from.level;
  into.position = from.position;
  into.attempts += from.attempts;
  into.queue_wait.Merge(from.queue_wait);
  into.service.Merge(from.service);
  into.waited += from.waited;
  into.spent += from.spent;
  into.wasted += from.wasted;
}

void MergeInto(OutcomeCounts& into, const OutcomeCounts& from) {
  for (size_t i = 0; i < kRunOutcomeCount; ++i)
    into[i] += from[i];
}

template <typename K, typename V>
void MergeMaps(std::map<K, V>& into, const std::map<K, V>& from) {
  for (const auto& [key, value] : from)
    MergeInto(into[key], value);
}

double MissedShare(const Counts& counts) {
  return counts.total() == 0 ? 0.0
                             : static_cast<double>(counts.missed) /
                                   static_cast<double>(counts.total());
}

}  // namespace

ServiceLevel& ServiceLevel::operator+=(const ServiceLevel& other) {
  total += other.total;
  short_window += other.short_window;
  long_window += other.long_window;
  budget_window += other.budget_window;
  return *this;
}

double AttainmentPercent(const Counts& counts) {
  return kWhole * (1.0 - MissedShare(counts));
}

double BurnRate(const Counts& counts, double target_percent) {
  if (counts.missed == 0)
    return 0.0;
  const double allowed = (kWhole - target_percent) / kWhole;
  return allowed <= 0.0 ? std::numeric_limits<double>::infinity()
                        : MissedShare(counts) / allowed;
}

double BudgetLeftPercent(const Counts& counts, double target_percent) {
  return kWhole * (1.0 - BurnRate(counts, target_percent));
}

double ServiceReport::TargetOf(declare::Rank rank) const {
  return targets[static_cast<size_t>(rank)];
}

void ServiceReport::Merge(const ServiceReport& other) {
  hosts += other.hosts;
  if (other.revision >= revision && other.revision > 0) {
    targets = other.targets;
    revision = other.revision;
  }
  refused_unready += other.refused_unready;
  MergeMaps(ranks, other.ranks);
  MergeMaps(outcomes, other.outcomes);
  MergeMaps(pipelines, other.pipelines);
  MergeMaps(stages, other.stages);
  MergeMaps(teams, other.teams);
}

}  // namespace bilberry::report
