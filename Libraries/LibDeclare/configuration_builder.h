#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "LibDeclare/configuration.h"
#include "LibDeclare/fault.h"

namespace bilberry::declare {

class ConfigurationBuilder;

// Says more about the pool that was added last.
class PoolBuilder {
 public:
  PoolBuilder& ReportsLoad();
  PoolBuilder& ChecksFencing();

 private:
  friend class ConfigurationBuilder;
  PoolBuilder(Configuration& configuration, size_t index)
      : configuration_(configuration), index_(index) {}

  Configuration& configuration_;
  size_t index_;
};

// Adds stages to one pipeline, in their order.
class PipelineBuilder {
 public:
  PipelineBuilder& AddStage(std::string name,
                            StageKind kind,
                            std::string pool,
                            std::string path,
                            std::chrono::milliseconds expected);
  // Of the stage added last: it is never run again when it may have run.
  PipelineBuilder& AtMostOnce();
  // Of the stage added last: its answer is passed on as it comes.
  PipelineBuilder& Streamed();

 private:
  friend class ConfigurationBuilder;
  PipelineBuilder(ConfigurationBuilder& owner, size_t index)
      : owner_(owner), index_(index) {}

  // Null, and a fault noted, when there is no stage yet.
  Stage* LastStage(std::string_view call);

  ConfigurationBuilder& owner_;
  size_t index_;
};

// A built configuration, usable only when there are no faults. `document` is
// what `bilberryctl apply` takes.
struct BuiltConfiguration {
  Configuration configuration;
  std::string document;
  Faults faults;
};

// What operators write their pipelines against. Nothing throws or ends the
// program: misuse is told by Check() and Build(), with field and hint.
class ConfigurationBuilder {
 public:
  explicit ConfigurationBuilder(std::string deployment);

  // A comment for the head of the document; may have several lines.
  ConfigurationBuilder& Describe(std::string heading);
  ConfigurationBuilder& AddZone(std::string name);
  // Needed once for each rank.
  ConfigurationBuilder& SetRank(Rank rank, RankRule rule);
  PoolBuilder AddPool(std::string name,
                      PoolKind kind,
                      uint32_t workers,
                      uint32_t slots_per_worker);
  PipelineBuilder AddPipeline(std::string name,
                              Rank rank,
                              std::chrono::milliseconds deadline);
  ConfigurationBuilder& AddTeam(std::string name);
  ConfigurationBuilder& AddTeam(std::string name, uint32_t weight);

  // All faults of what has been declared so far.
  Faults Check() const;
  BuiltConfiguration Build() const;

 private:
  friend class PipelineBuilder;

  Configuration configuration_;
  std::string heading_;
  std::set<Rank> ranks_set_;
  Faults misuses_;
};

}  // namespace bilberry::declare
