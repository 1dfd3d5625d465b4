#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "LibEmulation/emulation.h"

// Endpoints that name how many requests a second they take from all hosts
// together.
namespace bilberry::emulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeeds = 4;
constexpr seconds kBegins{5};
constexpr seconds kLasts{20};
// What reaches an endpoint is counted from this long after it names a limit.
constexpr seconds kSettles{3};

// Each of `one_in` endpoints that run requests has a limit for a while.
LoadScenario DayWithLimits(LoadScenario day,
                           double per_second,
                           uint32_t one_in) {
  day.lasts = kBegins + kLasts;
  day.limits = {{day.engines.name, one_in, per_second, kBegins, kLasts}};
  return day;
}

// Callers ask for three times what a few endpoints take together, by limits of
// this height.
LoadScenario DayBeyondLimits(uint32_t hosts, double per_second) {
  LoadScenario day = DayWithLimits(SteadyScenario(hosts), per_second, 1);
  day.engines.endpoints = 6;
  double asked = 0;
  for (const CallerKind& kind : day.kinds)
    asked += kind.per_second;
  const double factor = 3 * per_second * day.engines.endpoints / asked;
  for (CallerKind& kind : day.kinds) {
    kind.per_second *= factor;
    // Only the requests themselves are of interest.
    kind.stages.clear();
  }
  return day;
}

EmulationReport Play(const LoadScenario& day, uint64_t seed) {
  return Emulation(day, {seed}).Run();
}

// The part of the limits that was used.
double UseOf(const LoadScenario& day, const EmulationReport& report) {
  const PoolLimit& limit = day.limits.front();
  const uint32_t limited =
      (day.engines.endpoints + limit.one_in - 1) / limit.one_in;
  const double allowed =
      limit.per_second * limited *
      std::chrono::duration<double>(limit.lasts - kSettles).count();
  return static_cast<double>(report.limited_arrivals) / allowed;
}

TEST_SUITE_BEGIN("limits");

// Guards against the incident LIMIT: hosts that send as if alone.
TEST_CASE("all hosts together keep to the limit that an endpoint names") {
  for (const double per_second : {0.5, 1.0, 2.0}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(per_second);
      CAPTURE(seed);
      const EmulationReport report =
          Play(DayWithLimits(SteadyScenario(7), per_second, 3), seed);
      CHECK(report.limited_arrivals > 0);
      CHECK(report.sent_over_limit == 0);
    }
  }
}

// Answers a pool all of whose endpoints are in need, asked for three times what
// they take.
TEST_CASE("limits are kept and used when callers ask for three times as much") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (const double per_second : {1.0, 8.0}) {
      for (const double share_at_busy_hosts : {0.0, 0.8}) {
        CAPTURE(hosts);
        CAPTURE(per_second);
        CAPTURE(share_at_busy_hosts);
        LoadScenario day = DayBeyondLimits(hosts, per_second);
        day.share_at_busy_hosts = share_at_busy_hosts;
        const EmulationReport report = Play(day, 1);
        CAPTURE(report.max_limit_usage);
        CHECK(report.sent_over_limit == 0);
        CHECK(UseOf(day, report) >= 0.9);
      }
    }
  }
}

// Answers keepers that go without a word, one after the other.
TEST_CASE("limits are kept while their keepers die") {
  for (const uint32_t hosts : {7U, 77U, 295U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      LoadScenario day = DayBeyondLimits(hosts, 4);
      for (uint32_t i = 0; i < hosts / 2; ++i)
        day.crashes.push_back(
            {i, kBegins + seconds(2) + milliseconds(12'000) * i / hosts});
      const EmulationReport report = Play(day, seed);
      CAPTURE(report.max_limit_usage);
      CHECK(report.sent_over_limit == 0);
      CHECK(UseOf(day, report) >= 0.6);
    }
  }
}

// Answers keepers that are silent for a while, and come back with what they
// knew. What they send themselves meanwhile isn't counted.
TEST_CASE("limits are kept while their keepers are frozen or cut off") {
  for (const uint32_t hosts : {7U, 77U}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      LoadScenario day = DayBeyondLimits(hosts, 4);
      for (uint32_t i = 0; i < hosts / 2; ++i) {
        const base::Duration at =
            kBegins + seconds(2) + milliseconds(12'000) * i / hosts;
        if (i % 2 == 0)
          day.freezes.push_back({i, at, seconds(3)});
        else
          day.partitions.push_back({i, at, seconds(3)});
      }
      const EmulationReport report = Play(day, seed);
      CAPTURE(report.max_limit_usage);
      CHECK(report.sent_over_limit == 0);
    }
  }
}

TEST_CASE("a limit that falls, rises and ends is kept, and its end is heard") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    LoadScenario day = DayBeyondLimits(7, 4);
    const std::string& pool = day.engines.name;
    day.limits = {{pool, 1, 4, seconds(3), seconds(12)},
                  {pool, 1, 1, seconds(7), seconds(4)},
                  {pool, 2, 8, seconds(11), seconds(4)}};
    EmulationReport report = Play(day, seed);
    CHECK(report.limited_arrivals > 0);
    CHECK(report.sent_over_limit == 0);
    // From a while after its end on nobody is turned away.
    for (size_t second = 19; second < 24; ++second) {
      CAPTURE(second);
      CHECK(report.seconds.at(second).refusals == 0);
    }
  }
}

// Answers a pool of endpoints that make pieces, each of which takes a call a
// second, whatever is to be freed there.
TEST_CASE("calls for pieces and orders to free keep to limits") {
  for (const double per_second : {1.0, 3.0}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(per_second);
      CAPTURE(seed);
      LoadScenario day = SteadyScenario(7);
      day.lasts = kBegins + kLasts;
      day.limits = {{"returns", 1, per_second, kBegins, kLasts},
                    {"billing", 2, per_second, kBegins, kLasts}};
      const EmulationReport report = Play(day, seed);
      CHECK(report.limited_arrivals > 0);
      CHECK(report.sent_over_limit == 0);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
