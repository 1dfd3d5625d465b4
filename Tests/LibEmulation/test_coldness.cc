#include <doctest/doctest.h>

#include <string>

#include "LibEmulation/emulation.h"

// Endpoints that are cold for a while, and bear only so many requests a second
// from all hosts together.
namespace bilberry::emulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeeds = 4;
constexpr double kBears = 11;
constexpr seconds kBegins{5};
constexpr seconds kLasts{6};

// Short requests alone, so many a second for each of twelve endpoints.
LoadScenario DayOfRequests(uint32_t hosts, double per_endpoint) {
  LoadScenario day = SteadyScenario(hosts);
  day.lasts = kBegins + kLasts + seconds(6);
  day.engines.endpoints = 12;
  double asked = 0;
  for (const CallerKind& kind : day.kinds)
    asked += kind.per_second;
  for (CallerKind& kind : day.kinds) {
    kind.per_second *= per_endpoint * day.engines.endpoints / asked;
    kind.own_tokens = 50;
    kind.events = 5;
    kind.stages.clear();
  }
  day.cold_per_second = kBears;
  return day;
}

// Half of the endpoints start while callers come, and are cold.
LoadScenario DayOfColdStarts(uint32_t hosts) {
  LoadScenario day = DayOfRequests(hosts, 25);
  day.cold_periods = {{day.engines.name, 2, true, kBegins, kLasts}};
  return day;
}

// A third of them turn cold while they are in use.
LoadScenario DayOfColdTurns(uint32_t hosts) {
  LoadScenario day = DayOfRequests(hosts, 7);
  day.cold_periods = {{day.engines.name, 3, false, kBegins, kLasts}};
  return day;
}

EmulationReport Play(const LoadScenario& day, uint64_t seed) {
  return Emulation(day, {seed}).Run();
}

TEST_SUITE_BEGIN("limits");

// Guards against a check that sees nothing.
TEST_CASE(
    "hosts that aren't told what cold endpoints bear send them too much") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    CAPTURE(hosts);
    LoadScenario day = DayOfColdStarts(hosts);
    day.publishes_cold_rate = false;
    const EmulationReport report = Play(day, 1);
    CAPTURE(report.max_cold_usage);
    CHECK(report.sent_over_cold > 0);
  }
}

// Guards against FAILBACK: every host takes the empty endpoint first.
TEST_CASE("endpoints that start get what they bear while they are cold") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      const LoadScenario day = DayOfColdStarts(hosts);
      const EmulationReport report = Play(day, seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.sent_over_cold == 0);
      // They are warmed, by at least half of what they bear.
      const double borne = kBears * 6 * static_cast<double>(kLasts.count());
      CHECK(static_cast<double>(report.cold_arrivals) >= borne / 2);
      CAPTURE(report.max_usage_of_warm);
      // The end of the cold time brings no more than others get.
      CHECK(report.max_usage_after_cold <= report.max_usage_of_warm);
    }
  }
}

// Guards against FAILBACK: hosts hear that an endpoint is cold one by one.
TEST_CASE("endpoints that turn cold get what they bear") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      const EmulationReport report = Play(DayOfColdTurns(hosts), seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.cold_arrivals > 0);
      CHECK(report.sent_over_cold == 0);
      // The end of the cold time brings less than even a cold one may get.
      CHECK(report.max_usage_after_cold <= 1);
    }
  }
}

// Guards against two keepers that each grant all of it.
TEST_CASE("cold endpoints get what they bear while keepers die or are silent") {
  for (const uint32_t hosts : {7U, 77U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const bool do_die : {true, false}) {
        CAPTURE(hosts);
        CAPTURE(seed);
        CAPTURE(do_die);
        LoadScenario day = DayOfColdStarts(hosts);
        for (uint32_t i = 0; i < hosts / 2; ++i) {
          const base::Duration at =
              kBegins + milliseconds(200) + milliseconds(5'500) * i / hosts;
          if (do_die)
            day.crashes.push_back({i, at});
          else
            day.freezes.push_back({i, at, milliseconds(1'500)});
        }
        const EmulationReport report = Play(day, seed);
        CAPTURE(report.max_cold_usage);
        CHECK(report.sent_over_cold == 0);
      }
    }
  }
}

// Guards against a host that takes itself for the keeper while it hears nobody.
TEST_CASE("cold endpoints get what they bear while a host is cut off") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      LoadScenario day = DayOfColdStarts(hosts);
      day.partitions.push_back({0, kBegins - seconds(1), kLasts + seconds(2)});
      const EmulationReport report = Play(day, seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.sent_over_cold == 0);
    }
  }
}

TEST_CASE("cold endpoints get calls for pieces and orders as they bear them") {
  for (const double bears : {2.0, 5.0}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(bears);
      CAPTURE(seed);
      LoadScenario day = SteadyScenario(7);
      day.lasts = kBegins + kLasts + seconds(4);
      day.cold_per_second = bears;
      day.cold_periods = {{"returns", 2, true, kBegins, kLasts},
                          {"billing", 2, true, kBegins, kLasts}};
      const EmulationReport report = Play(day, seed);
      CAPTURE(report.max_cold_usage);
      CHECK(report.cold_arrivals > 0);
      CHECK(report.sent_over_cold == 0);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
