#include "LibTransport/metrics_text.h"

#include <utility>
#include <vector>

namespace bilberry::transport {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kQuantiles[] = {0.5, 0.95, 0.99};

struct Label {
  const char* key;
  std::string value;
};

using Labels = std::vector<Label>;

// The format's own escapes: backslash, quote and line feed.
std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char it : text) {
    if (it == '\n') {
      escaped += "\\n";
      continue;
    }
    if (it == '\\' || it == '"')
      escaped += '\\';
    escaped += it;
  }
  return escaped;
}

std::string SecondsText(base::Duration duration) {
  return std::to_string(static_cast<double>(duration.count()) /
                        kMicrosecondsPerSecond);
}

// Collects the samples of one metric after its head.
class Metric {
 public:
  Metric(std::string& out, const char* name, const char* type, const char* help)
      : out_(out), name_(name) {
    out_ += "# HELP " + name_ + " " + help + "\n";
    out_ += "# TYPE " + name_ + " " + type + "\n";
  }

  void Add(const Labels& labels, const std::string& value) {
    AddSuffixed("", labels, value);
  }

  void Add(const Labels& labels, uint64_t value) {
    Add(labels, std::to_string(value));
  }

  void AddSummary(const Labels& labels,
                  const report::LatencyHistogram& histogram,
                  base::Duration sum) {
    for (const double quantile : kQuantiles) {
      Labels with_quantile = labels;
      with_quantile.push_back({"quantile", std::to_string(quantile)});
      Add(with_quantile, SecondsText(histogram.Quantile(quantile)));
    }
    AddSuffixed("_sum", labels, SecondsText(sum));
    AddSuffixed("_count", labels, std::to_string(histogram.count()));
  }

 private:
  void AddSuffixed(const char* suffix,
                   const Labels& labels,
                   const std::string& value) {
    out_ += name_ + suffix;
    std::string separator = "{";
    for (const Label& label : labels) {
      out_ += separator + label.key + "=\"" + Escape(label.value) + "\"";
      separator = ",";
    }
    out_ += (labels.empty() ? " " : "} ") + value + "\n";
  }

  std::string& out_;
  std::string name_;
};

void PrintHost(std::string& out, const node::NodeStatus& status) {
  Metric(out, "bilberry_configuration_revision", "gauge",
         "Revision of the configuration in force.")
      .Add({}, static_cast<uint64_t>(status.revision));
  Metric(out, "bilberry_ready", "gauge", "1 while callers are served.")
      .Add({}, uint64_t{status.readiness == node::Readiness::kReady});
  Metric(out, "bilberry_platform_reachable", "gauge",
         "1 while the platform answers.")
      .Add({}, uint64_t{status.is_platform_reachable});
  Metric(out, "bilberry_runs_in_flight", "gauge", "Runs that have not ended.")
      .Add({}, status.runs);
  Metric(out, "bilberry_unrecorded_bookings", "gauge",
         "Outcomes that the table has not taken yet.")
      .Add({}, status.unrecorded_bookings);
}

void PrintPools(std::string& out, const node::NodeStatus& status) {
  Metric endpoints(out, "bilberry_pool_endpoints", "gauge",
                   "Endpoints that may be given work.");
  for (const policy::PoolLoad& load : status.pools)
    endpoints.Add({{"pool", load.pool.value}}, load.endpoints);
  Metric in_flight(out, "bilberry_pool_attempts_in_flight", "gauge",
                   "Attempts that have been sent and have not ended.");
  for (const policy::PoolLoad& load : status.pools)
    in_flight.Add({{"pool", load.pool.value}}, load.in_flight);
  Metric queued(out, "bilberry_pool_queued_stages", "gauge",
                "Stages that wait to be sent.");
  for (const policy::PoolLoad& load : status.pools)
    queued.Add({{"pool", load.pool.value}}, load.queued);
}

void PrintRuns(std::string& out, const report::ServiceReport& report) {
  Metric runs(out, "bilberry_runs_total", "counter", "Runs that have ended.");
  for (const auto& [key, counts] : report.outcomes) {
    for (const report::RunOutcome outcome : report::kRunOutcomes)
      runs.Add({{"rank", std::string(ToText(key.rank))},
                {"pipeline", key.name},
                {"outcome", std::string(ToText(outcome))}},
               counts[static_cast<size_t>(outcome)]);
  }
  Metric(out, "bilberry_requests_refused_unready_total", "counter",
         "Requests refused for want of a configuration.")
      .Add({}, report.refused_unready);
}

Labels LabelsOf(const report::StageKey& key) {
  return {{"pipeline", key.pipeline}, {"stage", key.stage}};
}

void PrintStages(std::string& out, const report::ServiceReport& report) {
  Metric waits(out, "bilberry_stage_queue_wait_seconds", "summary",
               "From a stage's offer to its sending.");
  for (const auto& [key, stage] : report.stages)
    waits.AddSummary(LabelsOf(key), stage.queue_wait, stage.waited);
  Metric services(out, "bilberry_stage_service_seconds", "summary",
                  "From an attempt's sending to its end.");
  for (const auto& [key, stage] : report.stages)
    services.AddSummary(LabelsOf(key), stage.service, stage.spent);
  Metric wasted(out, "bilberry_stage_wasted_seconds_total", "counter",
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
