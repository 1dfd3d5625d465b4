#include "LibDeclare/configuration_difference.h"

#include <map>

#include "LibDeclare/configuration_enum_names.h"

namespace bilberry::declare {

namespace {

// The fields of a configuration as text, by path.
class FieldMap {
 public:
  explicit FieldMap(const Configuration& configuration) {
    fields_["deployment"] = configuration.deployment;
    AddNames("zones", configuration.zones,
             [](const auto& it) { return it.value; });
    for (const Rank rank : kRanks)
      AddRank(rank, configuration.RuleOf(rank));
    for (const Pool& pool : configuration.pools)
      AddPool(pool);
    for (const Pipeline& pipeline : configuration.pipelines)
      AddPipeline(pipeline);
    for (const Team& team : configuration.teams)
      fields_["teams." + team.name.value + ".weight"] =
          std::to_string(team.weight);
  }

  const std::map<std::string, std::string>& fields() const { return fields_; }

 private:
  template <typename T, typename F>
  void AddNames(const std::string& path, const std::vector<T>& all, F name) {
    std::string text;
    for (const T& one : all)
      text += (text.empty() ? "" : ", ") + name(one);
    fields_[path] = text;
  }

  void AddRank(Rank rank, const RankRule& rule) {
    const std::string path = "ranks." + std::string(ToText(rank));
    fields_[path + ".minimum_share_percent"] =
        std::to_string(rule.minimum_share_percent);
    fields_[path + ".attainment_target_percent"] =
        std::to_string(rule.attainment_target_percent);
  }

  void AddPool(const Pool& pool) {
    const std::string path = "pools." + pool.name.value;
    fields_[path + ".kind"] = EnumNameOf(kPoolKindNames, pool.kind);
    fields_[path + ".workers"] = std::to_string(pool.workers);
    fields_[path + ".slots_per_worker"] = std::to_string(pool.slots_per_worker);
    fields_[path + ".reports_load"] = pool.reports_load ? "true" : "false";
    fields_[path + ".fencing"] = EnumNameOf(kFencingSupportNames, pool.fencing);
  }

  void AddPipeline(const Pipeline& pipeline) {
    const std::string path = "pipelines." + pipeline.name.value;
    fields_[path + ".rank"] = ToText(pipeline.rank);
    fields_[path + ".deadline_ms"] = std::to_string(pipeline.deadline.count());
    AddNames(path + ".stages", pipeline.stages,
             [](const Stage& it) { return it.name.value; });
    for (const Stage& stage : pipeline.stages)
      AddStage(path + ".stages." + stage.name.value, stage);
  }

  void AddStage(const std::string& path, const Stage& stage) {
    fields_[path + ".kind"] = EnumNameOf(kStageKindNames, stage.kind);
    fields_[path + ".pool"] = stage.pool.value;
    fields_[path + ".path"] = stage.path;
    fields_[path + ".expected_ms"] = std::to_string(stage.expected.count());
    fields_[path + ".repeatability"] =
        EnumNameOf(kRepeatabilityNames, stage.repeatability);
    fields_[path + ".delivery"] = EnumNameOf(kDeliveryNames, stage.delivery);
  }

  std::map<std::string, std::string> fields_;
};

}  // namespace

std::vector<Difference> Compare(const Configuration& before,
                                const Configuration& after) {
  const FieldMap old_fields(before);
  const FieldMap new_fields(after);
  std::map<std::string, Difference> differences;
  for (const auto& [field, value] : old_fields.fields())
    differences[field] = {field, value, std::nullopt};
  for (const auto& [field, value] : new_fields.fields()) {
    differences[field].field = field;
    differences[field].after = value;
  }
  std::vector<Difference> changed;
  for (auto& [field, difference] : differences) {
    if (difference.before != difference.after)
      changed.push_back(std::move(difference));
  }
  return changed;
}

std::string ToText(const Difference& difference) {
  if (!difference.before)
    return "+ " + difference.field + ": " + difference.after.value_or("");
  if (!difference.after)
    return "- " + difference.field + ": " + *difference.before;
  return "~ " + difference.field + ": " + *difference.before + " -> " +
         *difference.after;
}

}  // namespace bilberry::declare
