#include <doctest/doctest.h>

#include "LibEmulation/emulation.h"

// Retries, summed over all hosts.
namespace bilberry::emulation {
namespace {

using std::chrono::seconds;

// Nothing fails until each host has saved up what it may; then a third of the
// engines turn everything away, by turns.
LoadScenario DayOfFailures(uint32_t hosts) {
  LoadScenario day = SteadyScenario(hosts);
  for (CallerKind& kind : day.kinds) {
    kind.per_second *= 1.3;
    kind.stages.clear();
  }
  day.lasts = seconds(50);
  day.retry_allowance = 40 + 2 * hosts;
  day.refusals = {{day.engines.name, 3, seconds(30), false, seconds(30)}};
  return day;
}

TEST_SUITE_BEGIN("policy");

// Answers an upgrade that goes wrong at a third of a pool.
TEST_CASE("retries of all hosts together stay in their budget") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    CAPTURE(hosts);
    const EmulationReport report = Emulation(DayOfFailures(hosts), {1}).Run();
    CAPTURE(report.max_retry_usage);
    CHECK(report.max_retry_usage > 0);
    CHECK(report.max_retry_usage <= 1);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
