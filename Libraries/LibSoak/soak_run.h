#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibSoak/caller.h"
#include "LibSoak/endpoint_fleet.h"
#include "LibSoak/event_trail.h"
#include "LibSoak/fault_plan.h"
#include "LibSoak/host_fleet.h"
#include "LibSoak/invariant_checker.h"
#include "Standins/row_store_standin.h"

namespace bilberry::soak {

struct SoakOptions {
  uint64_t seed = 1;
  std::chrono::seconds span{30};  // Period in which faults begin.
  size_t hosts = 3;
  InjectedDefect injected_defect = InjectedDefect::kNone;
  std::string program;  // Path of the entry host's program.
  // For settings and logs; its previous content is removed.
  std::string folder;
};

// One run of a seed: real entry hosts under load with a plan of faults, until
// all hosts have recovered and been stopped.
class SoakRun {
 public:
  static base::Result<std::unique_ptr<SoakRun>> Create(SoakOptions options);

  // Ends early when `is_interrupted` returns true.
  void Run(const std::function<bool()>& is_interrupted);

  const SoakOptions& options() const { return options_; }
  const InvariantChecker& checker() const { return checker_; }
  const EventTrail& trail() const { return trail_; }
  const FaultPlan& plan() const { return plan_; }
  std::vector<std::string> logs() const;

 private:
  explicit SoakRun(SoakOptions options);

  base::Result<void> SetUp();
  void RunTurn();
  // Runs until `is_done` returns true; returns false if that takes longer than
  // `longest`.
  bool RunUntil(const std::function<bool()>& is_done,
                std::chrono::milliseconds longest);
  bool HasRecovered();
  void Begin(const PlannedFault& fault);
  void BeginAtHost(const PlannedFault& fault);
  void BeginAtStore(const PlannedFault& fault);
  void BeginAtEndpoint(const PlannedFault& fault);
  void RestoreStoreAfter(std::chrono::milliseconds time);
  void PerformWritesLate(std::chrono::milliseconds lasts);
  void DisturbStore(standins::Fault fault, std::chrono::milliseconds lasts);
  void ChangeConfiguration();
  void ChangeKey();
  void BeginDeadlyRequest(const PlannedFault& fault);

  SoakOptions options_;
  transport::Reactor reactor_;
  transport::TimerQueue timers_{reactor_};
  FaultPlan plan_;
  InvariantChecker checker_;
  EventTrail trail_{reactor_.Now()};
  CallerKeys keys_;
  std::optional<DeadlyRequest> deadly_;
  uint64_t last_deadly_ = 0;
  uint64_t revision_ = 1;
  uint64_t last_key_ = 0;
  uint64_t last_store_fault_ = 0;
  std::function<bool()> is_interrupted_;
  std::unique_ptr<standins::RowStoreStandin> store_;
  std::unique_ptr<EndpointFleet> endpoints_;
  std::unique_ptr<HostFleet> hosts_;
  std::vector<std::unique_ptr<Caller>> callers_;
};

}  // namespace bilberry::soak
