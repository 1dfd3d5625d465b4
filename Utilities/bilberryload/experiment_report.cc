#include "experiment_report.h"

#include <iomanip>
#include <ostream>
#include <string>

namespace bilberry::load {

namespace {

constexpr int kNameWidth = 34;
constexpr int kValueWidth = 12;
constexpr double kPercent = 100.0;

Json::Value Number(uint64_t number) {
  return static_cast<Json::UInt64>(number);
}

Json::Value EncodeTally(const Tally& tally, base::Duration elapsed) {
  Json::Value out;
  out["sent"] = Number(tally.sent);
  out["in_time"] = Number(tally.in_time);
  out["late"] = Number(tally.late);
  out["refused"] = Number(tally.refused);
  out["failed"] = Number(tally.failed);
  out["attainment_percent"] = tally.Attainment();
  out["goodput_per_s"] = static_cast<double>(tally.in_time) /
                         std::chrono::duration<double>(elapsed).count();
  out["p50_us"] =
      static_cast<Json::Int64>(tally.latency.Quantile(0.50).count());
  out["p99_us"] =
      static_cast<Json::Int64>(tally.latency.Quantile(0.99).count());
  return out;
}

void PrintRow(std::ostream& out,
              const std::string& name,
              const Json::Value& baseline,
              const Json::Value& present) {
  out << std::left << std::setw(kNameWidth) << name << std::right;
  for (const Json::Value* value : {&baseline, &present})
    out << std::setw(kValueWidth) << value->asDouble();
  out << "\n";
}

void PrintTally(std::ostream& out,
                const std::string& name,
                const Json::Value& baseline,
                const Json::Value& present) {
  for (const char* field :
       {"attainment_percent", "goodput_per_s", "sent", "refused", "failed"})
    PrintRow(out, name + " " + field, baseline[field], present[field]);
}

void PrintGroup(std::ostream& out,
                const char* group,
                const Json::Value& baseline,
                const Json::Value& present) {
  for (const std::string& name : present[group].getMemberNames())
    PrintTally(out, name, baseline[group][name], present[group][name]);
}

}  // namespace

Json::Value EncodeResult(const ExperimentResult& result) {
  Json::Value out;
  out["all"] = EncodeTally(result.all, result.elapsed);
  for (const auto& [name, tally] : result.labels)
    out["labels"][name] = EncodeTally(tally, result.elapsed);
  for (const auto& [name, tally] : result.teams)
    out["teams"][name] = EncodeTally(tally, result.elapsed);
  uint64_t executions = 0;
  for (const auto& [pool, count] : result.executions) {
    out["executions"][pool] = Number(count);
    executions += count;
  }
  // All pipelines of the experiments have one stage.
  const uint64_t runs = result.all.sent - result.all.refused;
  out["executions_per_run"] =
      runs == 0 ? 0.0
                : static_cast<double>(executions) / static_cast<double>(runs);
  out["endpoints_lost"] = Number(result.deaths);
  out["bookings_doubled"] = Number(result.doubled);
  out["wasted_work_percent"] =
      result.work.count() == 0
          ? 0.0
          : kPercent * static_cast<double>(result.wasted_work.count()) /
                static_cast<double>(result.work.count());
  return out;
}

void PrintComparison(std::ostream& out,
                     const Experiment& experiment,
                     const Json::Value& baseline,
                     const Json::Value& present) {
  out << experiment.name << "\ntarget: " << experiment.target << "\n"
      << std::fixed << std::setprecision(2) << std::left
      << std::setw(kNameWidth) << "" << std::right << std::setw(kValueWidth)
      << "baseline" << std::setw(kValueWidth) << "present"
      << "\n";
  PrintTally(out, "all", baseline["all"], present["all"]);
  PrintGroup(out, "labels", baseline, present);
  PrintGroup(out, "teams", baseline, present);
  for (const char* field : {"executions_per_run", "endpoints_lost",
                            "bookings_doubled", "wasted_work_percent"})
    PrintRow(out, field, baseline[field], present[field]);
}

}  // namespace bilberry::load
