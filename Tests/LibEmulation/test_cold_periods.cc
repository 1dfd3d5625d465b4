#include <doctest/doctest.h>

#include <string>

#include "LibEmulation/emulation.h"

// Endpoints with a cold period, in which they can serve only a limited number
// of requests per second from all hosts together.
namespace bilberry::emulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeeds = 4;
constexpr double kColdRate = 11;
constexpr seconds kBegins{5};
constexpr seconds kLasts{6};

// Short requests without stages, `per_endpoint` per second for each of twelve
// endpoints.
LoadScenario ScenarioOfRequests(uint32_t hosts, double per_endpoint) {
  LoadScenario scenario = SteadyScenario(hosts);
  scenario.lasts = kBegins + kLasts + seconds(6);
  scenario.engines.endpoints = 12;
  double total = 0;
  for (const CallerKind& kind : scenario.kinds)
    total += kind.per_second;
  for (CallerKind& kind : scenario.kinds) {
    kind.per_second *= per_endpoint * scenario.engines.endpoints / total;
    kind.own_tokens = 50;
    kind.events = 5;
    kind.stages.clear();
  }
  scenario.cold_per_second = kColdRate;
  return scenario;
}

// Half of the endpoints start under load, and are cold at first.
LoadScenario ScenarioOfColdStarts(uint32_t hosts) {
  LoadScenario scenario = ScenarioOfRequests(hosts, 25);
  scenario.cold_periods = {{scenario.engines.name, 2, true, kBegins, kLasts}};
  return scenario;
}

// A third of the endpoints turn cold while they are in use.
LoadScenario ScenarioOfColdPeriods(uint32_t hosts) {
  LoadScenario scenario = ScenarioOfRequests(hosts, 7);
  scenario.cold_periods = {{scenario.engines.name, 3, false, kBegins, kLasts}};
  return scenario;
}

EmulationReport RunScenario(const LoadScenario& scenario, uint64_t seed) {
  return Emulation(scenario, {seed}).Run();
}

TEST_SUITE_BEGIN("limits");

// Verifies that the check detects violations.
TEST_CASE("without a configured cold rate, hosts overload cold endpoints") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    CAPTURE(hosts);
    LoadScenario scenario = ScenarioOfColdStarts(hosts);
    scenario.publishes_cold_rate = false;
    const EmulationReport report = RunScenario(scenario, 1);
    CAPTURE(report.max_cold_usage);
    CHECK(report.sent_over_cold > 0);
  }
}

// Guards against the incident FAILBACK: every host prefers the new, empty
// endpoint.
TEST_CASE(
    "starting endpoints get at most the allowed load while they are cold") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      const LoadScenario scenario = ScenarioOfColdStarts(hosts);
      const EmulationReport report = RunScenario(scenario, seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.sent_over_cold == 0);
      // Hosts do send cold endpoints at least half of what they can serve.
      const double allowed =
          kColdRate * 6 * static_cast<double>(kLasts.count());
      CHECK(static_cast<double>(report.cold_arrivals) >= allowed / 2);
      CAPTURE(report.max_usage_of_warm);
      // The end of the cold period causes no higher load than on other
      // endpoints.
      CHECK(report.max_usage_after_cold <= report.max_usage_of_warm);
    }
  }
}

// Guards against the incident FAILBACK: hosts learn at different times that an
// endpoint is cold.
TEST_CASE("endpoints that turn cold get at most the allowed load") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      const EmulationReport report =
          RunScenario(ScenarioOfColdPeriods(hosts), seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.cold_arrivals > 0);
      CHECK(report.sent_over_cold == 0);
      // The end of the cold period causes no higher load than a cold endpoint
      // may get.
      CHECK(report.max_usage_after_cold <= 1);
    }
  }
}

// Guards against two limit owners that each grant the whole limit.
TEST_CASE(
    "cold endpoints get at most the allowed load while limit owners crash or "
    "freeze") {
  for (const uint32_t hosts : {7U, 77U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const bool do_crash : {true, false}) {
        CAPTURE(hosts);
        CAPTURE(seed);
        CAPTURE(do_crash);
        LoadScenario scenario = ScenarioOfColdStarts(hosts);
        for (uint32_t i = 0; i < hosts / 2; ++i) {
          const base::Duration at =
              kBegins + milliseconds(200) + milliseconds(5'500) * i / hosts;
          if (do_crash)
            scenario.crashes.push_back({i, at});
          else
            scenario.freezes.push_back({i, at, milliseconds(1'500)});
        }
        const EmulationReport report = RunScenario(scenario, seed);
        CAPTURE(report.max_cold_usage);
        CHECK(report.sent_over_cold == 0);
      }
    }
  }
}

// Guards against a partitioned host that takes itself for the limit owner.
TEST_CASE(
    "cold endpoints get at most the allowed load while a host is partitioned") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      LoadScenario scenario = ScenarioOfColdStarts(hosts);
      scenario.partitions.push_back(
          {0, kBegins - seconds(1), kLasts + seconds(2)});
      const EmulationReport report = RunScenario(scenario, seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.sent_over_cold == 0);
    }
  }
}

TEST_CASE(
    "stage calls and orders to free results count against the cold rate") {
  for (const double cold_rate : {2.0, 5.0}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(cold_rate);
      CAPTURE(seed);
      LoadScenario scenario = SteadyScenario(7);
      scenario.lasts = kBegins + kLasts + seconds(4);
      scenario.cold_per_second = cold_rate;
      scenario.cold_periods = {{"returns", 2, true, kBegins, kLasts},
                               {"billing", 2, true, kBegins, kLasts}};
      const EmulationReport report = RunScenario(scenario, seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.cold_arrivals > 0);
      CHECK(report.sent_over_cold == 0);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
