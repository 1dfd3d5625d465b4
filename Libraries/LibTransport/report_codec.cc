#include "LibTransport/report_codec.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "LibReport/report_tables.h"

namespace bilberry::transport {

namespace {

using declare::Rank;
using report::Counts;
using report::LatencyHistogram;
using report::LatencyLevel;
using report::ServiceLevel;
using report::StageLevel;

Json::UInt64 NumberOf(uint64_t number) {
  return number;
}

Json::Value EncodeCounts(const Counts& counts) {
  Json::Value value(Json::arrayValue);
  value.append(NumberOf(counts.met));
  value.append(NumberOf(counts.missed));
  return value;
}

// jsoncpp throws if an element is missing or not a number; DecodeReport()
// catches the exception.
Counts DecodeCounts(const Json::Value& value) {
  return {value[0].asUInt64(), value[1].asUInt64()};
}

Json::Value EncodeLevel(const ServiceLevel& level) {
  Json::Value value;
  value["total"] = EncodeCounts(level.total);
  value["short"] = EncodeCounts(level.short_window);
  value["long"] = EncodeCounts(level.long_window);
  value["budget"] = EncodeCounts(level.budget_window);
  return value;
}

ServiceLevel DecodeLevel(const Json::Value& value) {
  return {DecodeCounts(value["total"]), DecodeCounts(value["short"]),
          DecodeCounts(value["long"]), DecodeCounts(value["budget"])};
}

Json::Value EncodeHistogram(const LatencyHistogram& histogram) {
  Json::Value value(Json::arrayValue);
  for (const auto& bin : histogram.FilledBins()) {
    Json::Value pair(Json::arrayValue);
    pair.append(bin.index);
    pair.append(NumberOf(bin.count));
    value.append(std::move(pair));
  }
  return value;
}

LatencyHistogram DecodeHistogram(const Json::Value& value) {
  LatencyHistogram histogram;
  for (const Json::Value& pair : value) {
    if (!histogram.AddBin({pair[0].asInt(), pair[1].asUInt64()}))
      Json::throwRuntimeError("invalid histogram bin");
  }
  return histogram;
}

Json::Value EncodeLatencyLevel(const LatencyLevel& level) {
  Json::Value value;
  value["level"] = EncodeLevel(level.level);
  value["latency"] = EncodeHistogram(level.latency);
  return value;
}

LatencyLevel DecodeLatencyLevel(const Json::Value& value) {
  return {DecodeLevel(value["level"]), DecodeHistogram(value["latency"])};
}

Json::Value EncodeStage(const StageLevel& stage) {
  Json::Value value;
  value["level"] = EncodeLevel(stage.level);
  value["position"] = NumberOf(stage.position);
  value["attempts"] = NumberOf(stage.attempts);
  value["queue_wait"] = EncodeHistogram(stage.queue_wait);
  value["service"] = EncodeHistogram(stage.service);
  value["waited_us"] = Json::Int64{stage.waited.count()};
  value["spent_us"] = Json::Int64{stage.spent.count()};
  value["wasted_us"] = Json::Int64{stage.wasted.count()};
  return value;
}

StageLevel DecodeStage(const Json::Value& value) {
  StageLevel stage;
  stage.level = DecodeLevel(value["level"]);
  stage.position = value["position"].asUInt64();
  stage.attempts = value["attempts"].asUInt64();
  stage.queue_wait = DecodeHistogram(value["queue_wait"]);
  stage.service = DecodeHistogram(value["service"]);
  stage.waited = base::Duration(value["waited_us"].asInt64());
  stage.spent = base::Duration(value["spent_us"].asInt64());
  stage.wasted = base::Duration(value["wasted_us"].asInt64());
  return stage;
}

Json::Value EncodeOutcomes(const report::OutcomeCounts& counts) {
  Json::Value value;
  for (const report::RunOutcome outcome : report::kRunOutcomes)
    value[std::string(ToText(outcome))] =
        NumberOf(counts[static_cast<size_t>(outcome)]);
  return value;
}

report::OutcomeCounts DecodeOutcomes(const Json::Value& value) {
  report::OutcomeCounts counts{};
  for (const report::RunOutcome outcome : report::kRunOutcomes)
    counts[static_cast<size_t>(outcome)] =
        value[std::string(ToText(outcome))].asUInt64();
  return counts;
}

Rank DecodeRank(const Json::Value& value) {
  const std::string text = value.asString();
  const auto* const it = std::ranges::find_if(
      declare::kRanks, [&](Rank rank) { return ToText(rank) == text; });
  if (it == std::end(declare::kRanks))
    Json::throwRuntimeError("unknown rank");
  return *it;
}

template <typename T, typename F>
Json::Value EncodeRanked(const std::map<report::RankedName, T>& all, F encode) {
  Json::Value value(Json::arrayValue);
  for (const auto& [key, it] : all) {
    Json::Value one;
    one["rank"] = std::string(ToText(key.rank));
    one["name"] = key.name;
    one["value"] = encode(it);
    value.append(std::move(one));
  }
  return value;
}

template <typename T, typename F>
void DecodeRanked(const Json::Value& value,
                  std::map<report::RankedName, T>& all,
                  F decode) {
  for (const Json::Value& one : value)
    all[{DecodeRank(one["rank"]), one["name"].asString()}] =
        decode(one["value"]);
}

report::ServiceReport DecodeOrThrow(const Json::Value& value) {
  report::ServiceReport report;
  report.hosts = value["hosts"].asUInt64();
  report.revision = value["revision"].asUInt64();
  report.refused_unready = value["refused_unready"].asUInt64();
  for (Json::ArrayIndex i = 0; i < declare::kRankCount; ++i)
    report.targets[i] = value["targets"][i].asDouble();
  for (const Json::Value& one : value["ranks"])
    report.ranks[DecodeRank(one["rank"])] = DecodeLatencyLevel(one["value"]);
  DecodeRanked(value["outcomes"], report.outcomes, DecodeOutcomes);
  DecodeRanked(value["pipelines"], report.pipelines, DecodeLatencyLevel);
  DecodeRanked(value["teams"], report.teams, DecodeLevel);
  for (const Json::Value& one : value["stages"])
    report.stages[{one["pipeline"].asString(), one["stage"].asString()}] =
        DecodeStage(one["value"]);
  return report;
}

Json::Value FiniteOrNull(double number) {
  return std::isfinite(number) ? Json::Value(number) : Json::Value();
}

Json::Value EncodeLevelSummary(const ServiceLevel& level, double target) {
  const report::LevelSummary summary = report::Summarize(level, target);
  Json::Value value;
  value["runs"] = NumberOf(summary.runs);
  value["attainment_percent"] = summary.attainment_percent;
  value["target_percent"] = target;
  value["burn_rate_5m"] = FiniteOrNull(summary.short_burn_rate);
  value["burn_rate_1h"] = FiniteOrNull(summary.long_burn_rate);
  value["budget_left_percent"] = FiniteOrNull(summary.budget_left_percent);
  return value;
}

void AddQuantiles(Json::Value& value,
                  const std::string& name,
                  const LatencyHistogram& histogram) {
  value[name + "_p50_us"] = Json::Int64{histogram.Quantile(0.5).count()};
  value[name + "_p95_us"] = Json::Int64{histogram.Quantile(0.95).count()};
  value[name + "_p99_us"] = Json::Int64{histogram.Quantile(0.99).count()};
}

Json::Value EncodeStageSummary(const report::StageKey& key,
                               const StageLevel& stage) {
  Json::Value value;
  value["pipeline"] = key.pipeline;
  value["stage"] = key.stage;
  value["position"] = NumberOf(stage.position);
  value["runs"] = NumberOf(stage.level.total.total());
  value["attainment_percent"] = report::AttainmentPercent(stage.level.total);
  value["attempts"] = NumberOf(stage.attempts);
  value["waited_us"] = Json::Int64{stage.waited.count()};
  value["spent_us"] = Json::Int64{stage.spent.count()};
  value["wasted_us"] = Json::Int64{stage.wasted.count()};
  AddQuantiles(value, "queue_wait", stage.queue_wait);
  AddQuantiles(value, "service", stage.service);
  return value;
}

}  // namespace

Json::Value EncodeSummary(const report::ServiceReport& report) {
  Json::Value value;
  value["hosts"] = NumberOf(report.hosts);
  value["revision"] = NumberOf(report.revision);
  for (const char* list : {"ranks", "pipelines", "stages", "teams"})
    value[list] = Json::arrayValue;
  for (const auto& [rank, it] : report.ranks) {
    Json::Value one = EncodeLevelSummary(it.level, report.TargetOf(rank));
    one["rank"] = std::string(ToText(rank));
    AddQuantiles(one, "latency", it.latency);
    value["ranks"].append(std::move(one));
  }
  for (const auto& [key, it] : report.pipelines) {
    Json::Value one = EncodeLevelSummary(it.level, report.TargetOf(key.rank));
    one["rank"] = std::string(ToText(key.rank));
    one["pipeline"] = key.name;
    AddQuantiles(one, "latency", it.latency);
    value["pipelines"].append(std::move(one));
  }
  for (const auto& [key, it] : report.stages)
    value["stages"].append(EncodeStageSummary(key, it));
  for (const declare::Rank rank : declare::kRanks) {
    for (const auto& [name, level] : report::TeamsBySize(report, rank)) {
      Json::Value one = EncodeLevelSummary(level, report.TargetOf(rank));
      one["rank"] = std::string(ToText(rank));
      one["team"] = name;
      value["teams"].append(std::move(one));
    }
  }
  return value;
}

Json::Value EncodeReport(const report::ServiceReport& report) {
  Json::Value value;
  value["hosts"] = NumberOf(report.hosts);
  value["revision"] = NumberOf(report.revision);
  value["refused_unready"] = NumberOf(report.refused_unready);
  value["targets"] = Json::arrayValue;
  for (const double target : report.targets)
    value["targets"].append(target);
  value["ranks"] = Json::arrayValue;
  for (const auto& [rank, level] : report.ranks) {
    Json::Value one;
    one["rank"] = std::string(ToText(rank));
    one["value"] = EncodeLatencyLevel(level);
    value["ranks"].append(std::move(one));
  }
  value["outcomes"] = EncodeRanked(report.outcomes, EncodeOutcomes);
  value["pipelines"] = EncodeRanked(report.pipelines, EncodeLatencyLevel);
  value["teams"] = EncodeRanked(report.teams, EncodeLevel);
  value["stages"] = Json::arrayValue;
  for (const auto& [key, stage] : report.stages) {
    Json::Value one;
    one["pipeline"] = key.pipeline;
    one["stage"] = key.stage;
    one["value"] = EncodeStage(stage);
    value["stages"].append(std::move(one));
  }
  return value;
}

base::Result<report::ServiceReport> DecodeReport(const Json::Value& value) {
  try {
    return DecodeOrThrow(value);
  } catch (const Json::Exception& exception) {
    return base::Error{base::ErrorCode::kMalformed, base::Step::kReport, "",
                       exception.what()};
  }
}

}  // namespace bilberry::transport
