#include "LibDeclare/configuration_builder.h"

#include <utility>

#include "LibDeclare/configuration_parser.h"
#include "LibDeclare/configuration_printer.h"

namespace bilberry::declare {

PoolBuilder& PoolBuilder::ReportsLoad() {
  configuration_.pools[index_].reports_load = true;
  return *this;
}

PoolBuilder& PoolBuilder::ChecksFencing() {
  configuration_.pools[index_].fencing = FencingSupport::kChecked;
  return *this;
}

PipelineBuilder& PipelineBuilder::AddStage(std::string name,
                                           StageKind kind,
                                           std::string pool,
                                           std::string path,
                                           std::chrono::milliseconds expected) {
  Stage stage;
  stage.name = {std::move(name)};
  stage.kind = kind;
  stage.pool = {std::move(pool)};
  stage.path = std::move(path);
  stage.expected = expected;
  owner_.configuration_.pipelines[index_].stages.push_back(std::move(stage));
  return *this;
}

PipelineBuilder& PipelineBuilder::AtMostOnce() {
  if (Stage* stage = LastStage("AtMostOnce()"))
    stage->repeatability = Repeatability::kAtMostOnce;
  return *this;
}

PipelineBuilder& PipelineBuilder::Streamed() {
  if (Stage* stage = LastStage("Streamed()"))
    stage->delivery = Delivery::kStreamed;
  return *this;
}

Stage* PipelineBuilder::LastStage(std::string_view call) {
  auto& stages = owner_.configuration_.pipelines[index_].stages;
  if (!stages.empty())
    return &stages.back();
  owner_.misuses_.push_back(
      {0, "pipelines[" + std::to_string(index_) + "].stages",
       std::string(call) + " was called before a stage was added",
       "call AddStage() first"});
  return nullptr;
}

ConfigurationBuilder::ConfigurationBuilder(std::string deployment) {
  configuration_.deployment = std::move(deployment);
}

ConfigurationBuilder& ConfigurationBuilder::Describe(std::string heading) {
  heading_ = std::move(heading);
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::AddZone(std::string name) {
  configuration_.zones.push_back({std::move(name)});
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::SetRank(Rank rank, RankRule rule) {
  configuration_.ranks[static_cast<size_t>(rank)] = rule;
  if (!ranks_set_.insert(rank).second)
    misuses_.push_back({0, "ranks." + std::string(ToText(rank)), "is set twice",
                        "keep one call of SetRank()"});
  return *this;
}

PoolBuilder ConfigurationBuilder::AddPool(std::string name,
                                          PoolKind kind,
                                          uint32_t workers,
                                          uint32_t slots_per_worker) {
  Pool pool;
  pool.name = {std::move(name)};
  pool.kind = kind;
  pool.workers = workers;
  pool.slots_per_worker = slots_per_worker;
  configuration_.pools.push_back(std::move(pool));
  return {configuration_, configuration_.pools.size() - 1};
}

PipelineBuilder ConfigurationBuilder::AddPipeline(
    std::string name,
    Rank rank,
    std::chrono::milliseconds deadline) {
  Pipeline pipeline;
  pipeline.name = {std::move(name)};
  pipeline.rank = rank;
  pipeline.deadline = deadline;
  configuration_.pipelines.push_back(std::move(pipeline));
  return {*this, configuration_.pipelines.size() - 1};
}

ConfigurationBuilder& ConfigurationBuilder::AddTeam(std::string name) {
  return AddTeam(std::move(name), Team().weight);
}

ConfigurationBuilder& ConfigurationBuilder::AddTeam(std::string name,
                                                    uint32_t weight) {
  configuration_.teams.push_back({{std::move(name)}, weight});
  return *this;
}

Faults ConfigurationBuilder::Check() const {
  return Build().faults;
}

// Parses the printed document again, so that a configuration built in C++
// passes the same checks as a written one.
BuiltConfiguration ConfigurationBuilder::Build() const {
  BuiltConfiguration built;
  built.configuration = configuration_;
  built.document = PrintConfiguration(configuration_, heading_);
  built.faults = misuses_;
  for (const Rank rank : kRanks) {
    if (!ranks_set_.contains(rank))
      built.faults.push_back({0, "ranks." + std::string(ToText(rank)),
                              "is missing", "call SetRank()"});
  }
  for (Fault& fault : ParseConfiguration(built.document).faults) {
    // Line numbers of the printed document mean nothing to the author of C++
    // code.
    fault.line = 0;
    built.faults.push_back(std::move(fault));
  }
  return built;
}

}  // namespace bilberry::declare
