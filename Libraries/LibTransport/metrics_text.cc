#include "LibTransport/metrics_text.h"

namespace bilberry::transport {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kQuantiles[] = {0.5, 0.95, 0.99};

std::string SecondsText(base::Duration duration) {
  return std::to_string(static_cast<double>(duration.count()) /
                        kMicrosecondsPerSecond);
}

void AddSummary(MetricWriter& metric,
                const MetricLabels& labels,
                const report::LatencyHistogram& histogram,
                base::Duration sum) {
  for (const double quantile : kQuantiles) {
    MetricLabels with_quantile = labels;
    with_quantile.push_back({"quantile", std::to_string(quantile)});
    metric.Add(with_quantile, SecondsText(histogram.Quantile(quantile)));
  }
  metric.AddSuffixed("_sum", labels, SecondsText(sum));
  metric.AddSuffixed("_count", labels, std::to_string(histogram.count()));
}

void PrintHost(std::string& out, const node::NodeStatus& status) {
  MetricWriter(out, "bilberry_configuration_revision", "gauge",
               "Revision of the configuration in force.")
      .Add({}, static_cast<uint64_t>(status.revision));
  MetricWriter(out, "bilberry_ready", "gauge", "1 while callers are served.")
      .Add({}, uint64_t{status.readiness == node::Readiness::kReady});
  MetricWriter(out, "bilberry_platform_reachable", "gauge",
               "1 while the platform answers.")
      .Add({}, uint64_t{status.is_platform_reachable});
  MetricWriter(out, "bilberry_runs_in_flight", "gauge",
               "Runs that have not ended.")
      .Add({}, status.runs);
  MetricWriter(out, "bilberry_unrecorded_bookings", "gauge",
               "Outcomes that the table has not taken yet.")
      .Add({}, status.unrecorded_bookings);
}

void PrintPools(std::string& out, const node::NodeStatus& status) {
  MetricWriter endpoints(out, "bilberry_pool_endpoints", "gauge",
                         "Endpoints that may be given work.");
  for (const policy::PoolLoad& load : status.pools)
    endpoints.Add({{"pool", load.pool.value}}, load.endpoints);
  MetricWriter in_flight(out, "bilberry_pool_attempts_in_flight", "gauge",
                         "Attempts that have been sent and have not ended.");
  for (const policy::PoolLoad& load : status.pools)
    in_flight.Add({{"pool", load.pool.value}}, load.in_flight);
  MetricWriter queued(out, "bilberry_pool_queued_stages", "gauge",
                      "Stages that wait to be sent.");
  for (const policy::PoolLoad& load : status.pools)
    queued.Add({{"pool", load.pool.value}}, load.queued);
}

void PrintRuns(std::string& out, const report::ServiceReport& report) {
  MetricWriter runs(out, "bilberry_runs_total", "counter",
                    "Runs that have ended.");
  for (const auto& [key, counts] : report.outcomes) {
    for (const report::RunOutcome outcome : report::kRunOutcomes)
      runs.Add({{"rank", std::string(ToText(key.rank))},
                {"pipeline", key.name},
                {"outcome", std::string(ToText(outcome))}},
               counts[static_cast<size_t>(outcome)]);
  }
  MetricWriter(out, "bilberry_requests_refused_unready_total", "counter",
               "Requests refused for want of a configuration.")
      .Add({}, report.refused_unready);
}

MetricLabels LabelsOf(const report::StageKey& key) {
  return {{"pipeline", key.pipeline}, {"stage", key.stage}};
}

void PrintStages(std::string& out, const report::ServiceReport& report) {
  MetricWriter waits(out, "bilberry_stage_queue_wait_seconds", "summary",
                     "From a stage's offer to its sending.");
  for (const auto& [key, stage] : report.stages)
    AddSummary(waits, LabelsOf(key), stage.queue_wait, stage.waited);
  MetricWriter services(out, "bilberry_stage_service_seconds", "summary",
                        "From an attempt's sending to its end.");
  for (const auto& [key, stage] : report.stages)
    AddSummary(services, LabelsOf(key), stage.service, stage.spent);
  MetricWriter wasted(out, "bilberry_stage_wasted_seconds_total", "counter",
                      "Service time of runs that missed their deadline.");
  for (const auto& [key, stage] : report.stages)
    wasted.Add(LabelsOf(key), SecondsText(stage.wasted));
}

}  // namespace

std::string PrintMetrics(const node::NodeStatus& status,
                         const report::ServiceReport& report) {
  std::string out;
  PrintHost(out, status);
  PrintPools(out, status);
  PrintRuns(out, report);
  PrintStages(out, report);
  return out;
}

}  // namespace bilberry::transport
