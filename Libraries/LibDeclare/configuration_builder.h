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

// Sets optional properties of the pool that was added last.
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

// Adds the stages of one pipeline, in order.
class PipelineBuilder {
 public:
  PipelineBuilder& AddStage(std::string name,
                            StageKind kind,
                            std::string pool,
                            std::string path,
                            std::chrono::milliseconds expected);
  // Declares that the stage added last is never retried after it may have run.
  PipelineBuilder& AtMostOnce();
  // Declares that the answer of the stage added last is streamed to the caller.
  PipelineBuilder& Streamed();

 private:
  friend class ConfigurationBuilder;
  PipelineBuilder(ConfigurationBuilder& owner, size_t index)
      : owner_(owner), index_(index) {}

  // Returns null and adds a fault if the pipeline has no stage yet.
  Stage* LastStage(std::string_view call);

  ConfigurationBuilder& owner_;
  size_t index_;
};

// A built configuration, valid only if there are no faults. `document` is the
// input of `bilberryctl apply`.
struct BuiltConfiguration {
  Configuration configuration;
  std::string document;
  Faults faults;
};

// The C++ interface with which operators declare configurations. Nothing throws
// or ends the program: Check() and Build() report misuse as faults, with field
// and hint.
class ConfigurationBuilder {
 public:
  explicit ConfigurationBuilder(std::string deployment);

  // Sets a comment for the head of the document; may have several lines.
  ConfigurationBuilder& Describe(std::string heading);
  ConfigurationBuilder& AddZone(std::string name);
  // Must be called once for each rank.
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

  // Returns all faults of the current declarations.
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
