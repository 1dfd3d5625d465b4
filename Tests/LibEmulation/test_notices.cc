#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibEmulation/emulation.h"
#include "LibEmulation/half_load.h"

// Notices that endpoints put into their answers.
namespace bilberry::emulation {
namespace {

using std::chrono::seconds;

EmulationReport RunScenario(const LoadScenario& scenario) {
  return Emulation(scenario, {1}).Run();
}

// Checks the on-time share of each kind.
void CheckOnTime(const EmulationReport& report, double least) {
  for (const auto& entry : report.kinds) {
    CAPTURE(entry.first);
    CHECK(entry.second.on_time_share() >= least);
  }
}

TEST_SUITE_BEGIN("notices");

// Guards against each host learning separately that an endpoint is leaving
// while the store still lists it as serving.
TEST_CASE(
    "endpoints that announce their departure in answers get no more requests") {
  const std::vector<LoadScenario> scenarios = {
      SteadyScenario(7), SteadyScenario(8), GrownScenario(), GrownScenario(77)};
  for (const LoadScenario& full_load : scenarios) {
    CAPTURE(full_load.hosts);
    LoadScenario scenario = AtHalfLoad(full_load);
    for (const char* pool : {"billing", "returns", "tracking"})
      scenario.departures.push_back({pool, 3, seconds(5)});
    scenario.departures.push_back({scenario.engines.name, 3, seconds(5)});
    const EmulationReport report = RunScenario(scenario);
    CHECK(report.sent_to_leaving == 0);
    CHECK(report.sent_after_fleet_notified == 0);
    CheckOnTime(report, 0.95);
  }
}

// A third of the engines at a time refuses all requests for this long.
void CheckTurns(seconds lasts) {
  for (const uint32_t hosts : {kGrownScenarioHosts, 77U}) {
    CAPTURE(hosts);
    LoadScenario scenario = AtHalfLoad(GrownScenario(hosts));
    scenario.retry_allowance = 2 * hosts;
    scenario.refusals = {{scenario.engines.name, 3, lasts, true}};
    const EmulationReport report = RunScenario(scenario);
    CAPTURE(report.max_retry_usage);
    CHECK(report.sent_despite_retry_after == 0);
    CHECK(report.max_retry_usage <= 1);
    CheckOnTime(report, 0.95);
  }
}

// Guards against each host learning separately, by retries, which engines
// refuse requests.
TEST_CASE("engines that refuse in turn, a third at a time, cause few retries") {
  CheckTurns(seconds(5));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("short-turns");

TEST_CASE("engines that refuse in turn for a second each cause few retries") {
  CheckTurns(seconds(1));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
