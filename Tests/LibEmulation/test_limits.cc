#include <doctest/doctest.h>

#include <string>

#include "LibEmulation/emulation.h"

// Endpoints that name how many requests a second they take from all hosts
// together.
namespace bilberry::emulation {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeeds = 4;

// From the fifth second on, a third of the endpoints that run requests.
LoadSheet DayWithLimits(LoadSheet day, double per_second) {
  day.limits = {{day.engines.name, 3, per_second, seconds(5)}};
  return day;
}

EmulationReport Play(const LoadSheet& day, uint64_t seed) {
  return Emulation(day, {seed}).Run();
}

TEST_SUITE_BEGIN("limits");

// Guards against the incident LIMIT: hosts that send as if alone.
TEST_CASE("all hosts together keep to the limit that an endpoint names") {
  for (const double per_second : {0.5, 1.0, 2.0}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(per_second);
      CAPTURE(seed);
      const EmulationReport report =
          Play(DayWithLimits(HireFirms(7), per_second), seed);
      CHECK(report.limited_arrivals > 0);
      CHECK(report.sent_over_limit == 0);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
