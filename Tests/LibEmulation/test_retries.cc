#include <doctest/doctest.h>

#include "LibEmulation/emulation.h"

// The retry budget over all hosts.
namespace bilberry::emulation {
namespace {

using std::chrono::seconds;

// Nothing fails until each host has saved up its retry budget; then a third of
// the engines refuse everything, in turn.
LoadScenario ScenarioOfFailures(uint32_t hosts) {
  LoadScenario scenario = SteadyScenario(hosts);
  for (CallerKind& kind : scenario.kinds) {
    kind.per_second *= 1.3;
    kind.stages.clear();
  }
  scenario.lasts = seconds(50);
  scenario.retry_allowance = 40 + 2 * hosts;
  scenario.refusals = {
      {scenario.engines.name, 3, seconds(30), false, seconds(30)}};
  return scenario;
}

TEST_SUITE_BEGIN("policy");

// Guards against a failed upgrade of a third of a pool that causes a retry
// storm.
TEST_CASE("retries of all hosts together stay within the retry budget") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    CAPTURE(hosts);
    const EmulationReport report =
        Emulation(ScenarioOfFailures(hosts), {1}).Run();
    CAPTURE(report.max_retry_usage);
    CHECK(report.max_retry_usage > 0);
    CHECK(report.max_retry_usage <= 1);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
