#include "LibTransport/forward_metrics.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <optional>
#include <span>
#include <utility>

#include "LibBase/log_event.h"
#include "LibTransport/metric_writer.h"

namespace bilberry::transport {

namespace {

using base::LogEventId;

// Bounds the cardinality of a metric family: once a family has this many
// series, further label values are counted in one series labelled "other".
constexpr size_t kMaxSeries = 200;
constexpr const char* kOther = "other";

// A family of counters of log records, labelled by fields of the records.
struct CounterFamily {
  std::string_view name;
  std::string_view help;
  std::vector<std::string_view> labels;
  // Empty for a counter that is not derived from log records.
  std::optional<LogEventId> event;
};

// A family of histograms of a numeric field of log records.
struct HistogramFamily {
  std::string_view name;
  std::string_view help;
  std::vector<std::string_view> labels;
  LogEventId event;
  std::string_view field;
  double scale = 1;  // Converts the field's unit into the metric's unit.
  std::span<const double> bounds;
};

constexpr std::string_view kStoreCalls = "bilberry_store_calls_total";
constexpr std::string_view kTableBytes = "bilberry_table_bytes_total";
constexpr std::string_view kLinesLeftOut = "bilberry_log_lines_left_out_total";
constexpr double kSecondsPerMillisecond = 0.001;
constexpr std::array kSecondBounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                   0.3,   0.5,  0.75,  1.0,  1.5, 2.0,
                                   3.0,   5.0,  8.0,   15.0};
constexpr std::array kPieceBounds{1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0};

// A gauge of the endpoints that this host places requests at.
struct PlacementGauge {
  std::string_view name;
  std::string_view help;
  double (*value_of)(const forward::EndpointPlacementStatus& status);
};

constexpr std::array kPlacementGauges{
    PlacementGauge{"bilberry_placement_runs",
                   "Requests in flight at the endpoint that this host placed.",
                   [](const forward::EndpointPlacementStatus& it) {
                     return static_cast<double>(it.runs);
                   }},
    PlacementGauge{"bilberry_placement_tokens_to_prefill",
                   "Prompt tokens that these requests still prefill.",
                   [](const forward::EndpointPlacementStatus& it) {
                     return static_cast<double>(it.tokens_to_prefill);
                   }},
    PlacementGauge{
        "bilberry_placement_pace",
        "Time that work takes there, relative to the mean of its pool and "
        "zone.",
        [](const forward::EndpointPlacementStatus& it) { return it.pace; }},
    PlacementGauge{
        "bilberry_placement_first_event_seconds",
        "Expected time to the first event of the next request.",
        [](const forward::EndpointPlacementStatus& it) {
          return std::chrono::duration<double>(it.first_event).count();
        }},
};

std::string NumberText(double number) {
  // Enough for the longest double in its shortest form.
  std::array<char, 32> text{};
  const auto [end, ec] =
      std::to_chars(text.data(), text.data() + text.size(), number);
  return {text.data(), end};
}

const std::vector<CounterFamily>& CounterFamilies() {
  static const std::vector<CounterFamily> families{
      {"bilberry_requests_total",
       "Requests that have their final answer.",
       {"pipeline", "urgency", "outcome"},
       LogEventId::kRequestEnded},
      {"bilberry_requests_refused_total",
       "Requests refused at the door, before anything ran.",
       {"reason", "team", "pipeline"},
       LogEventId::kRequestRefused},
      {"bilberry_placements_total",
       "Requests for which a placement was asked, by outcome: placed by the "
       "owner, or why this host chose the endpoint.",
       {"outcome"},
       LogEventId::kPlacementEnded},
      {"bilberry_stage_jobs_total",
       "Stages of requests of this host, by how they ended.",
       {"pool", "outcome"},
       LogEventId::kStageEnded},
      {"bilberry_attempts_total",
       "Requests sent to an endpoint of their final pool.",
       {"zone", "resumed"},
       LogEventId::kAttemptSent},
      {"bilberry_attempts_failed_total",
       "Attempts that failed, by whether the request was sent again.",
       {"verdict", "sent_again"},
       LogEventId::kAttemptFailed},
      {"bilberry_endpoints_leaving_total",
       "Endpoints that said in an answer that they leave.",
       {},
       LogEventId::kEndpointLeaving},
      {"bilberry_endpoints_quiet_total",
       "Times that an endpoint asked this host or a peer to leave it alone.",
       {"told_by", "endpoint"},
       LogEventId::kEndpointQuiet},
      {"bilberry_endpoint_limits_total",
       "Times that a limit which endpoints name for all hosts has changed.",
       {"told_by"},
       LogEventId::kEndpointLimit},
      {"bilberry_endpoints_cold_total",
       "Times that an endpoint said that it is cold.",
       {"endpoint"},
       LogEventId::kEndpointCold},
      {"bilberry_endpoint_crashes_total",
       "Endpoints that crashed while they ran requests of this host.",
       {"pool"},
       LogEventId::kEndpointCrashed},
      {"bilberry_requests_quarantined_total",
       "Requests that are refused because endpoints crashed while they ran "
       "them.",
       {},
       LogEventId::kRequestQuarantined},
      {"bilberry_prompt_parts_quarantined_total",
       "Parts of prompts that are refused because endpoints crashed before "
       "they began to answer requests with them.",
       {},
       LogEventId::kPartQuarantined},
      {"bilberry_permits_total",
       "Questions for a permit to send to an endpoint with a limit, and "
       "permits "
       "not used.",
       {"outcome"},
       LogEventId::kPermitEnded},
      {"bilberry_limits_kept_total",
       "Times that this host began to keep an endpoint's limit for all.",
       {},
       LogEventId::kLimitKept},
      {"bilberry_stage_calls_total",
       "Calls for pieces by a dispatcher of this host.",
       {"pool", "failure"},
       LogEventId::kStageCallEnded},
      {"bilberry_stage_jobs_refused_total",
       "Jobs that a dispatcher of this host refused or gave up.",
       {"pool", "reason"},
       LogEventId::kJobRefused},
      {"bilberry_dispatchers_lost_total",
       "Dispatchers that gave no answer.",
       {"host"},
       LogEventId::kDispatcherLost},
      {"bilberry_configurations_adopted_total",
       "Configurations taken on.",
       {},
       LogEventId::kConfigurationAdopted},
      {kStoreCalls,
       "Calls to the platform's store.",
       {"call", "answer"},
       std::nullopt},
      {kTableBytes,
       "Bytes received of answers that bring the store's tables.",
       {"call"},
       std::nullopt},
      {kLinesLeftOut,
       "Log lines left out to keep the volume bounded.",
       {"event"},
       std::nullopt},
  };
  return families;
}

const std::vector<HistogramFamily>& HistogramFamilies() {
  static const std::vector<HistogramFamily> families{
      {"bilberry_request_duration_seconds",
       "From a request's arrival to the end of its answer.",
       {"pipeline"},
       LogEventId::kRequestEnded,
       "ms",
       kSecondsPerMillisecond,
       kSecondBounds},
      {"bilberry_first_byte_seconds",
       "From a request's arrival to the begin of its answer.",
       {"pipeline"},
       LogEventId::kRequestEnded,
       "first_ms",
       kSecondsPerMillisecond,
       kSecondBounds},
      {"bilberry_placement_expected_first_event_seconds",
       "Time to the first event that the owner expected of a placed request.",
       {},
       LogEventId::kPlacementEnded,
       "expected_ms",
       kSecondsPerMillisecond,
       kSecondBounds},
      {"bilberry_stage_job_duration_seconds",
       "From a stage's asking to its end, at the host that asked.",
       {"pool"},
       LogEventId::kStageEnded,
       "ms",
       kSecondsPerMillisecond,
       kSecondBounds},
      {"bilberry_stage_call_duration_seconds",
       "Calls for pieces.",
       {"pool"},
       LogEventId::kStageCallEnded,
       "ms",
       kSecondsPerMillisecond,
       kSecondBounds},
      {"bilberry_stage_call_pieces",
       "Pieces in a call.",
       {"pool"},
       LogEventId::kStageCallEnded,
       "pieces",
       1,
       kPieceBounds},
  };
  return families;
}

std::string FieldOf(const forward::WriteLog& line, std::string_view name) {
  const auto it =
      std::ranges::find(line.fields, name, &forward::LogField::name);
  return it == line.fields.end() ? "" : it->value;
}

std::vector<std::string> LabelsOf(const forward::WriteLog& line,
                                  const std::vector<std::string_view>& names) {
  std::vector<std::string> labels;
  labels.reserve(names.size());
  for (const std::string_view name : names)
    labels.push_back(FieldOf(line, name));
  return labels;
}

// Returns the series with these labels, or the series "other" once the family
// has kMaxSeries series.
template <typename T>
T& SeriesOf(std::map<std::vector<std::string>, T>& series,
            std::vector<std::string> labels) {
  if (series.size() >= kMaxSeries && !series.contains(labels))
    std::ranges::fill(labels, kOther);
  return series[std::move(labels)];
}

MetricLabels WithKeys(const std::vector<std::string_view>& keys,
                      const std::vector<std::string>& values) {
  MetricLabels labels;
  for (size_t i = 0; i < keys.size(); ++i)
    labels.push_back({keys[i], values[i]});
  return labels;
}

}  // namespace

void ForwardMetrics::Count(std::string_view family, Labels labels, uint64_t n) {
  SeriesOf(counters_[family], std::move(labels)) += n;
}

void ForwardMetrics::RecordLine(const forward::WriteLog& line) {
  for (const CounterFamily& family : CounterFamilies()) {
    if (family.event == line.id)
      Count(family.name, LabelsOf(line, family.labels));
  }
  for (const HistogramFamily& family : HistogramFamilies()) {
    if (family.event != line.id)
      continue;
    const std::string text = FieldOf(line, family.field);
    int64_t number = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    // Lines that lack the number are not observed, such as lines of requests
    // that were refused before they began.
    if (ec != std::errc() || end == text.data())
      continue;
    Histogram& histogram =
        SeriesOf(histograms_[family.name], LabelsOf(line, family.labels));
    histogram.buckets.resize(family.bounds.size() + 1);
    const double value = static_cast<double>(number) * family.scale;
    const auto bound = std::ranges::lower_bound(family.bounds, value);
    ++histogram.buckets[static_cast<size_t>(bound - family.bounds.begin())];
    histogram.sum += value;
  }
}

void ForwardMetrics::RecordStoreCall(std::string_view call,
                                     std::string_view answer) {
  Count(kStoreCalls, {std::string(call), std::string(answer)});
}

void ForwardMetrics::RecordTableBytes(std::string_view call, size_t bytes) {
  Count(kTableBytes, {std::string(call)}, bytes);
}

void ForwardMetrics::SetDroppedLines(
    const std::map<std::string_view, uint64_t>& lines) {
  for (const auto& [event, count] : lines)
    counters_[kLinesLeftOut][{std::string(event)}] = count;
}

std::string ForwardMetrics::Print() const {
  std::string out;
  MetricWriter(out, "bilberry_ready", "gauge",
               "Whether the host wants callers.")
      .Add({}, uint64_t{is_ready_});
  PrintCounters(out);
  PrintHistograms(out);
  PrintPlacements(out);
  return out;
}

void ForwardMetrics::PrintPlacements(std::string& out) const {
  if (placements_.empty())
    return;
  for (const PlacementGauge& gauge : kPlacementGauges) {
    MetricWriter metric(out, gauge.name, "gauge", gauge.help);
    for (const forward::EndpointPlacementStatus& it : placements_)
      metric.Add({{"pool", it.domain.pool.value},
                  {"zone", it.domain.zone.value},
                  {"endpoint", it.endpoint.value}},
                 NumberText(gauge.value_of(it)));
  }
}

void ForwardMetrics::PrintCounters(std::string& out) const {
  for (const CounterFamily& family : CounterFamilies()) {
    const auto it = counters_.find(family.name);
    if (it == counters_.end())
      continue;
    MetricWriter metric(out, family.name, "counter", family.help);
    for (const auto& [labels, count] : it->second)
      metric.Add(WithKeys(family.labels, labels), count);
  }
}

void ForwardMetrics::PrintHistograms(std::string& out) const {
  for (const HistogramFamily& family : HistogramFamilies()) {
    const auto it = histograms_.find(family.name);
    if (it == histograms_.end())
      continue;
    MetricWriter metric(out, family.name, "histogram", family.help);
    for (const auto& [labels, histogram] : it->second)
      metric.AddHistogram(WithKeys(family.labels, labels), family.bounds,
                          histogram.buckets, histogram.sum);
  }
}

}  // namespace bilberry::transport
