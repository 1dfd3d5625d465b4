#include "LibDeclare/configuration_parser.h"

#include <set>

#include "LibDeclare/configuration_enum_names.h"
#include "LibDeclare/object_reader.h"

namespace bilberry::declare {

namespace {

constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::minutes(10);
constexpr uint32_t kMaxWorkers = 10'000;
constexpr uint32_t kMaxSlots = 4'096;
constexpr uint32_t kMaxWeight = 1'000;
constexpr size_t kMaxStages = 16;

void ReadRank(ObjectReader& reader, const char* key, RankRule& out) {
  reader.ReadObject(key, Presence::kRequired, [&out](ObjectReader& rank) {
    rank.Read("minimum_share_percent", out.minimum_share_percent, {0U, 100U},
              Presence::kRequired);
    rank.Read("attainment_target_percent", out.attainment_target_percent,
              {0.0, 100.0}, Presence::kRequired);
  });
}

Pool ReadPool(ObjectReader& reader) {
  Pool pool;
  reader.ReadName("name", pool.name.value, Presence::kRequired);
  reader.ReadChoice("kind", pool.kind, kPoolKindNames, Presence::kRequired);
  reader.Read("workers", pool.workers, {1U, kMaxWorkers}, Presence::kRequired);
  reader.Read("slots_per_worker", pool.slots_per_worker, {1U, kMaxSlots},
              Presence::kRequired);
  reader.Read("reports_load", pool.reports_load, Presence::kOptional);
  reader.ReadChoice("fencing", pool.fencing, kFencingSupportNames,
                    Presence::kOptional);
  return pool;
}

template <typename T>
const std::string& NameOf(const T& declared) {
  return declared.name.value;
}

const std::string& NameOf(const base::ZoneName& zone) {
  return zone.value;
}

template <typename T>
void CheckUnique(const std::vector<T>& all,
                 const char* field,
                 ObjectReader& reader) {
  std::set<std::string> seen;
  for (const T& one : all) {
    const std::string& name = NameOf(one);
    if (!name.empty() && !seen.insert(name).second)
      reader.AddFault(field, "\"" + name + "\" is declared twice",
                      "remove one or give it another name");
  }
}

Stage ReadStage(ObjectReader& reader, const Configuration& configuration) {
  Stage stage;
  reader.ReadName("name", stage.name.value, Presence::kRequired);
  reader.ReadChoice("kind", stage.kind, kStageKindNames, Presence::kRequired);
  reader.ReadName("pool", stage.pool.value, Presence::kRequired);
  if (!stage.pool.value.empty() &&
      configuration.FindPool(stage.pool) == nullptr)
    reader.AddFault("pool",
                    "names the unknown pool \"" + stage.pool.value + "\"",
                    "declare it under pools");
  reader.Read("path", stage.path, Presence::kRequired);
  if (!stage.path.empty() && stage.path.front() != '/')
    reader.AddFault("path", "must begin with a slash",
                    "write \"/" + stage.path + "\"");
  reader.Read("expected_ms", stage.expected, kMaxDeadline, Presence::kRequired);
  reader.ReadChoice("repeatability", stage.repeatability, kRepeatabilityNames,
                    Presence::kOptional);
  reader.ReadChoice("delivery", stage.delivery, kDeliveryNames,
                    Presence::kOptional);
  return stage;
}

Pipeline ReadPipeline(ObjectReader& reader,
                      const Configuration& configuration) {
  Pipeline pipeline;
  reader.ReadName("name", pipeline.name.value, Presence::kRequired);
  reader.ReadChoice("rank", pipeline.rank, kRankNames, Presence::kRequired);
  reader.Read("deadline_ms", pipeline.deadline, kMaxDeadline,
              Presence::kRequired);
  reader.ReadObjects("stages", Presence::kRequired, [&](ObjectReader& stage) {
    pipeline.stages.push_back(ReadStage(stage, configuration));
  });
  if (pipeline.stages.empty() || pipeline.stages.size() > kMaxStages)
    reader.AddFault("stages", "must have 1 to 16 stages",
                    "add a stage, or split the pipeline");
  CheckUnique(pipeline.stages, "stages", reader);
  for (size_t i = 0; i + 1 < pipeline.stages.size(); ++i) {
    if (pipeline.stages[i].delivery == Delivery::kStreamed)
      reader.AddFault("stages", "only the last stage may be streamed",
                      "set its delivery to whole");
  }
  if (pipeline.IsAtMostOnce() && !pipeline.stages.empty() &&
      pipeline.stages.back().delivery == Delivery::kStreamed)
    reader.AddFault("stages",
                    "a pipeline with an at-most-once stage can't be "
                    "streamed",
                    "its answer is recorded whole");
  return pipeline;
}

void CheckShares(const Configuration& configuration, ObjectReader& root) {
  uint32_t sum = 0;
  for (const RankRule& rule : configuration.ranks)
    sum += rule.minimum_share_percent;
  if (sum > 100)
    root.AddFault("ranks", "the minimum shares sum to more than 100 percent",
                  "lower one of them");
}

}  // namespace

ParsedConfiguration ParseConfiguration(std::string_view text) {
  ParsedConfiguration parsed;
  Configuration& configuration = parsed.configuration;
  const auto document = ParseJson(text, parsed.faults);
  if (!document)
    return parsed;
  ObjectReader root(*document, document->root, "", parsed.faults);
  root.Read("deployment", configuration.deployment, Presence::kRequired);
  std::vector<std::string> zones;
  root.ReadStrings("zones", zones, Presence::kRequired);
  for (std::string& zone : zones)
    configuration.zones.push_back({std::move(zone)});
  root.ReadObject("ranks", Presence::kRequired, [&](ObjectReader& ranks) {
    for (const Rank rank : kRanks)
      ReadRank(ranks, ToText(rank).data(),
               configuration.ranks[static_cast<size_t>(rank)]);
  });
  root.ReadObjects("pools", Presence::kRequired, [&](ObjectReader& pool) {
    configuration.pools.push_back(ReadPool(pool));
  });
  root.ReadObjects("pipelines", Presence::kRequired, [&](ObjectReader& it) {
    configuration.pipelines.push_back(ReadPipeline(it, configuration));
  });
  root.ReadObjects("teams", Presence::kRequired, [&](ObjectReader& it) {
    Team team;
    it.ReadName("name", team.name.value, Presence::kRequired);
    it.Read("weight", team.weight, {1U, kMaxWeight}, Presence::kOptional);
    configuration.teams.push_back(std::move(team));
  });
  root.Finish();
  if (configuration.zones.empty() && root.Has("zones"))
    root.AddFault("zones", "must name at least one zone", "add the zones");
  CheckUnique(configuration.zones, "zones", root);
  CheckUnique(configuration.pools, "pools", root);
  CheckUnique(configuration.pipelines, "pipelines", root);
  CheckUnique(configuration.teams, "teams", root);
  CheckShares(configuration, root);
  return parsed;
}

}  // namespace bilberry::declare
