#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibEmulation/emulation.h"

// What endpoints say of themselves in their answers.
namespace bilberry::emulation {
namespace {

using std::chrono::seconds;

// A third of all endpoints could go: the rest can bear so much.
LoadScenario AtHalfLoad(LoadScenario day) {
  for (CallerKind& kind : day.kinds)
    kind.per_second *= 0.5;
  return day;
}

EmulationReport Play(const LoadScenario& day) {
  return Emulation(day, {1}).Run();
}

// Of each kind of callers.
void CheckOnTime(const EmulationReport& report, double least) {
  for (const auto& entry : report.kinds) {
    CAPTURE(entry.first);
    CHECK(entry.second.on_time_share() >= least);
  }
}

TEST_SUITE_BEGIN("notices");

// Guards against hosts that each find out by themselves that an endpoint
// leaves, while the store still says that it serves.
TEST_CASE("endpoints that say in answers that they leave get nothing more") {
  const std::vector<LoadScenario> days = {SteadyScenario(7), SteadyScenario(8),
                                          GrownScenario(), GrownScenario(77)};
  for (const LoadScenario& scenario : days) {
    CAPTURE(scenario.hosts);
    LoadScenario day = AtHalfLoad(scenario);
    for (const char* pool : {"billing", "returns", "tracking"})
      day.departures.push_back({pool, 3, seconds(5)});
    day.departures.push_back({day.engines.name, 3, seconds(5)});
    const EmulationReport report = Play(day);
    CHECK(report.sent_to_leaving == 0);
    CHECK(report.sent_after_fleet_notified == 0);
    CheckOnTime(report, 0.95);
  }
}

// Of the engines, a third at a time turn all away for so long.
void CheckTurns(seconds lasts) {
  for (const uint32_t hosts : {kGrownScenarioHosts, 77U}) {
    CAPTURE(hosts);
    LoadScenario day = AtHalfLoad(GrownScenario(hosts));
    day.retry_allowance = 2 * hosts;
    day.refusals = {{day.engines.name, 3, lasts, true}};
    const EmulationReport report = Play(day);
    CAPTURE(report.max_retry_usage);
    CHECK(report.sent_despite_retry_after == 0);
    CHECK(report.max_retry_usage <= 1);
    CheckOnTime(report, 0.95);
  }
}

// Guards against hosts that each find out by themselves which engines want to
// be left alone, by retries.
TEST_CASE("a third of the engines that turn away by turns cost few retries") {
  CheckTurns(seconds(5));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("short-turns");

TEST_CASE("a third of the engines that turn away for a second cost little") {
  CheckTurns(seconds(1));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
