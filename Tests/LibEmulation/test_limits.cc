#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "LibEmulation/emulation.h"

// Endpoints that name a limit of requests per second from all hosts together.
namespace bilberry::emulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeeds = 4;
constexpr seconds kBegins{5};
constexpr seconds kLasts{20};
// Requests to an endpoint are counted from this long after it names a limit.
constexpr seconds kSettlingTime{3};

// One in `one_in` engines has a limit for a while.
LoadScenario ScenarioWithLimits(LoadScenario scenario,
                                double per_second,
                                uint32_t one_in) {
  scenario.lasts = kBegins + kLasts;
  scenario.limits = {
      {scenario.engines.name, one_in, per_second, kBegins, kLasts}};
  return scenario;
}

// Callers send three times the requests that all limits together allow.
LoadScenario ScenarioBeyondLimits(uint32_t hosts, double per_second) {
  LoadScenario scenario =
      ScenarioWithLimits(SteadyScenario(hosts), per_second, 1);
  scenario.engines.endpoints = 6;
  double total = 0;
  for (const CallerKind& kind : scenario.kinds)
    total += kind.per_second;
  const double factor = 3 * per_second * scenario.engines.endpoints / total;
  for (CallerKind& kind : scenario.kinds) {
    kind.per_second *= factor;
    // Without stages, only the requests themselves count.
    kind.stages.clear();
  }
  return scenario;
}

EmulationReport RunScenario(const LoadScenario& scenario, uint64_t seed) {
  return Emulation(scenario, {seed}).Run();
}

// The fraction of the limits that was used.
double UseOf(const LoadScenario& scenario, const EmulationReport& report) {
  const PoolLimit& limit = scenario.limits.front();
  const uint32_t limited =
      (scenario.engines.endpoints + limit.one_in - 1) / limit.one_in;
  const double allowed =
      limit.per_second * limited *
      std::chrono::duration<double>(limit.lasts - kSettlingTime).count();
  return static_cast<double>(report.limited_arrivals) / allowed;
}

TEST_SUITE_BEGIN("limits");

// Guards against the incident LIMIT: each host sent as much as if it were
// alone.
TEST_CASE("all hosts together respect the limit that an endpoint names") {
  for (const double per_second : {0.5, 1.0, 2.0}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(per_second);
      CAPTURE(seed);
      const EmulationReport report = RunScenario(
          ScenarioWithLimits(SteadyScenario(7), per_second, 3), seed);
      CHECK(report.limited_arrivals > 0);
      CHECK(report.sent_over_limit == 0);
    }
  }
}

// All endpoints of a pool have a limit, and the load is three times the sum of
// the limits.
TEST_CASE("limits are respected and used up at three times the load") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (const double per_second : {1.0, 8.0}) {
      for (const double share_at_busy_hosts : {0.0, 0.8}) {
        CAPTURE(hosts);
        CAPTURE(per_second);
        CAPTURE(share_at_busy_hosts);
        LoadScenario scenario = ScenarioBeyondLimits(hosts, per_second);
        scenario.share_at_busy_hosts = share_at_busy_hosts;
        const EmulationReport report = RunScenario(scenario, 1);
        CAPTURE(report.max_limit_usage);
        CHECK(report.sent_over_limit == 0);
        CHECK(UseOf(scenario, report) >= 0.9);
      }
    }
  }
}

// The limit owners crash one after the other.
TEST_CASE("limits are respected while their owners crash") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      LoadScenario scenario = ScenarioBeyondLimits(hosts, 4);
      for (uint32_t i = 0; i < hosts / 2; ++i)
        scenario.crashes.push_back(
            {i, kBegins + seconds(2) + milliseconds(12'000) * i / hosts});
      const EmulationReport report = RunScenario(scenario, seed);
      CAPTURE(report.max_limit_usage);
      CHECK(report.sent_over_limit == 0);
      CHECK(UseOf(scenario, report) >= 0.6);
    }
  }
}

// The limit owners are silent for a while and resume with outdated state.
// Their own requests during that time aren't counted.
TEST_CASE("limits are respected while their owners are frozen or partitioned") {
  for (const uint32_t hosts : {7U, 77U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      LoadScenario scenario = ScenarioBeyondLimits(hosts, 4);
      for (uint32_t i = 0; i < hosts / 2; ++i) {
        const base::Duration at =
            kBegins + seconds(2) + milliseconds(12'000) * i / hosts;
        if (i % 2 == 0)
          scenario.freezes.push_back({i, at, seconds(3)});
        else
          scenario.partitions.push_back({i, at, seconds(3)});
      }
      const EmulationReport report = RunScenario(scenario, seed);
      CAPTURE(report.max_limit_usage);
      CHECK(report.sent_over_limit == 0);
    }
  }
}

TEST_CASE("a limit that falls, rises and ends is respected, its end included") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LoadScenario scenario = ScenarioBeyondLimits(7, 4);
    const std::string& pool = scenario.engines.name;
    scenario.limits = {{pool, 1, 4, seconds(3), seconds(12)},
                       {pool, 1, 1, seconds(7), seconds(4)},
                       {pool, 2, 8, seconds(11), seconds(4)}};
    EmulationReport report = RunScenario(scenario, seed);
    CHECK(report.limited_arrivals > 0);
    CHECK(report.sent_over_limit == 0);
    // Some time after the end of the limit, no caller is refused.
    for (size_t second = 19; second < 24; ++second) {
      CAPTURE(second);
      CHECK(report.seconds.at(second).refusals == 0);
    }
  }
}

// Endpoints for pieces with a limit of a few calls per second, which also
// covers requests to free results.
TEST_CASE("stage calls and orders to free results respect limits") {
  for (const double per_second : {1.0, 3.0}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(per_second);
      CAPTURE(seed);
      LoadScenario scenario = SteadyScenario(7);
      scenario.lasts = kBegins + kLasts;
      scenario.limits = {{"returns", 1, per_second, kBegins, kLasts},
                         {"billing", 2, per_second, kBegins, kLasts}};
      const EmulationReport report = RunScenario(scenario, seed);
      CHECK(report.limited_arrivals > 0);
      CHECK(report.sent_over_limit == 0);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
