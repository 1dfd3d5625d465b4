#include "LibDeclare/configuration_printer.h"

#include <json/writer.h>

#include <charconv>
#include <cmath>
#include <vector>

#include "LibDeclare/configuration_enum_names.h"

namespace bilberry::declare {

namespace {

constexpr std::string_view kRanksComment =
    "  // minimum_share_percent: of each pool's time, kept for the rank while "
    "it has\n"
    "  // work. attainment_target_percent: of its runs, to meet their "
    "deadline.\n";
constexpr std::string_view kPoolsComment =
    "  // workers: over all zones. slots_per_worker: requests that one worker "
    "takes at\n  // once.\n";
constexpr std::string_view kPipelinesComment =
    "  // Stages run in their order, under one deadline.\n";
constexpr std::string_view kTeamsComment =
    "  // weight: the team's part of its rank's time against the others'.\n";

std::string Quote(const std::string& text) {
  Json::StreamWriterBuilder builder;
  builder["emitUTF8"] = true;
  return Json::writeString(builder, Json::Value(text));
}

// Formats a number as the shortest text that parses to the same value. JSON has
// neither infinity nor NaN; they are printed as null, which the parser rejects
// as it should.
std::string NumberText(double number) {
  if (!std::isfinite(number))
    return "null";
  constexpr size_t kMaxNumberLength = 32;
  char buf[kMaxNumberLength];
  const auto [end, ec] = std::to_chars(buf, buf + sizeof(buf), number);
  return ec == std::errc() ? std::string(buf, end) : "null";
}

std::string Field(std::string_view key, const std::string& value) {
  return "\"" + std::string(key) + "\": " + value;
}

std::string TextField(std::string_view key, std::string_view value) {
  return Field(key, Quote(std::string(value)));
}

std::string Field(std::string_view key, uint32_t number) {
  return Field(key, std::to_string(number));
}

std::string Field(std::string_view key, std::chrono::milliseconds time) {
  return Field(key, std::to_string(time.count()));
}

std::string Join(const std::vector<std::string>& parts,
                 std::string_view separator) {
  std::string text;
  for (const std::string& part : parts) {
    if (!text.empty())
      text += separator;
    text += part;
  }
  return text;
}

std::string OneLineObject(const std::vector<std::string>& fields) {
  return "{ " + Join(fields, ", ") + " }";
}

// Prints an array with each element on its own lines.
template <typename T>
std::string PrintArray(const std::vector<T>& elements,
                       const std::string& indent,
                       std::string (*print)(const T&)) {
  if (elements.empty())
    return "[]";
  std::vector<std::string> lines;
  lines.reserve(elements.size());
  for (const T& element : elements)
    lines.push_back(indent + "  " + print(element));
  return "[\n" + Join(lines, ",\n") + "\n" + indent + "]";
}

std::string PrintPool(const Pool& pool) {
  std::vector<std::string> fields{
      TextField("name", pool.name.value),
      TextField("kind", EnumNameOf(kPoolKindNames, pool.kind)),
      Field("workers", pool.workers),
      Field("slots_per_worker", pool.slots_per_worker)};
  if (pool.reports_load)
    fields.push_back(Field("reports_load", std::string("true")));
  if (pool.fencing != Pool().fencing)
    fields.push_back(
        TextField("fencing", EnumNameOf(kFencingSupportNames, pool.fencing)));
  return OneLineObject(fields);
}

std::string PrintStage(const Stage& stage) {
  std::vector<std::string> fields{
      TextField("name", stage.name.value),
      TextField("kind", EnumNameOf(kStageKindNames, stage.kind)),
      TextField("pool", stage.pool.value), TextField("path", stage.path),
      Field("expected_ms", stage.expected)};
  if (stage.repeatability != Stage().repeatability)
    fields.push_back(TextField(
        "repeatability", EnumNameOf(kRepeatabilityNames, stage.repeatability)));
  if (stage.delivery != Stage().delivery)
    fields.push_back(
        TextField("delivery", EnumNameOf(kDeliveryNames, stage.delivery)));
  return OneLineObject(fields);
}

std::string PrintPipeline(const Pipeline& pipeline) {
  const std::vector<std::string> head{TextField("name", pipeline.name.value),
                                      TextField("rank", ToText(pipeline.rank)),
                                      Field("deadline_ms", pipeline.deadline)};
  return "{\n      " + Join(head, ", ") + ",\n      \"stages\": " +
         PrintArray(pipeline.stages, "      ", &PrintStage) + "\n    }";
}

std::string PrintTeam(const Team& team) {
  std::vector<std::string> fields{TextField("name", team.name.value)};
  if (team.weight != Team().weight)
    fields.push_back(Field("weight", team.weight));
  return OneLineObject(fields);
}

std::string PrintRanks(const Configuration& configuration) {
  std::vector<std::string> lines;
  for (const Rank rank : kRanks) {
    const RankRule& rule = configuration.RuleOf(rank);
    lines.push_back(
        "    " +
        Field(ToText(rank),
              OneLineObject(
                  {Field("minimum_share_percent", rule.minimum_share_percent),
                   Field("attainment_target_percent",
                         NumberText(rule.attainment_target_percent))})));
  }
  return "{\n" + Join(lines, ",\n") + "\n  }";
}

std::string PrintZones(const Configuration& configuration) {
  std::vector<std::string> quoted;
  quoted.reserve(configuration.zones.size());
  for (const base::ZoneName& zone : configuration.zones)
    quoted.push_back(Quote(zone.value));
  return "[" + Join(quoted, ", ") + "]";
}

// A comment ends at a line break, so each line gets its own comment marker.
std::string PrintHeading(std::string_view heading) {
  if (heading.empty())
    return "";
  std::string text = "// ";
  for (const char it : heading) {
    if (it == '\n' || it == '\r')
      text += "\n// ";
    else
      text += it;
  }
  return text + "\n";
}

}  // namespace

std::string PrintConfiguration(const Configuration& configuration,
                               std::string_view heading) {
  std::string text = PrintHeading(heading) + "{\n  ";
  text += TextField("deployment", configuration.deployment);
  text += ",\n  " + Field("zones", PrintZones(configuration)) + ",\n";
  text += kRanksComment;
  text += "  " + Field("ranks", PrintRanks(configuration)) + ",\n";
  text += kPoolsComment;
  text +=
      "  " + Field("pools", PrintArray(configuration.pools, "  ", &PrintPool));
  text += ",\n";
  text += kPipelinesComment;
  text += "  " + Field("pipelines", PrintArray(configuration.pipelines, "  ",
                                               &PrintPipeline));
  text += ",\n";
  text += kTeamsComment;
  text +=
      "  " + Field("teams", PrintArray(configuration.teams, "  ", &PrintTeam));
  return text + "\n}\n";
}

}  // namespace bilberry::declare
