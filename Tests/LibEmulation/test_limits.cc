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
LoadSheet DayWithLimits(LoadSheet day, double per_second, uint32_t one_in) {
  day.lasts = kBegins + kLasts;
  day.limits = {{day.engines.name, one_in, per_second, kBegins, kLasts}};
  return day;
}

// Callers ask for three times what a few endpoints take together, by limits of
// this height.
LoadSheet DayBeyondLimits(uint32_t hosts, double per_second) {
  LoadSheet day = DayWithLimits(HireFirms(hosts), per_second, 1);
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

EmulationReport Play(const LoadSheet& day, uint64_t seed) {
  return Emulation(day, {seed}).Run();
}

// The part of the limits that was used.
double UseOf(const LoadSheet& day, const EmulationReport& report) {
  const PoolLimit& limit = day.limits.front();
  const double allowed =
      limit.per_second * (day.engines.endpoints / limit.one_in) *
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
          Play(DayWithLimits(HireFirms(7), per_second, 3), seed);
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
      for (const double share_at_few : {0.0, 0.8}) {
        CAPTURE(hosts);
        CAPTURE(per_second);
        CAPTURE(share_at_few);
        LoadSheet day = DayBeyondLimits(hosts, per_second);
        day.share_at_few = share_at_few;
        const EmulationReport report = Play(day, 1);
        CAPTURE(report.most_of_allowed);
        CHECK(report.sent_over_limit == 0);
        CHECK(UseOf(day, report) >= 0.9);
      }
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
