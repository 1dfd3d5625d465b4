#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>

#include "LibEmulation/emulation.h"

namespace bilberry::emulation {
namespace {

using std::chrono::seconds;

constexpr size_t kBurstBegins = 5;
constexpr size_t kBurstEnds = 12;
constexpr double kBurstFactor = 3;
// Largest loss of the on-time share of a kind whose rate stays the same.
constexpr double kMostLost = 0.05;

// Callers that arrived during the burst, by kind.
using Tallies = std::map<std::string, CallerTally>;

// Sums over runs with seeds from 1 on.
Tallies TalliesOf(const LoadScenario& scenario, uint64_t seeds) {
  Tallies tallies;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const EmulationReport report = Emulation(scenario, {seed}).Run();
    for (const auto& [kind, each_second] : report.seconds_of_kinds) {
      for (size_t second = kBurstBegins; second < kBurstEnds; ++second) {
        tallies[kind].total += each_second.at(second).total;
        tallies[kind].on_time += each_second.at(second).on_time;
      }
    }
  }
  return tallies;
}

void CheckBurstsOfEachKind(LoadScenario scenario, uint64_t seeds) {
  scenario.lasts = seconds(kBurstEnds + 1);
  const Tallies calm = TalliesOf(scenario, seeds);
  for (const CallerKind& bursting : scenario.kinds) {
    CAPTURE(bursting.name);
    LoadScenario burst = scenario;
    burst.bursts = {{bursting.name, seconds(kBurstBegins),
                     seconds(kBurstEnds - kBurstBegins), kBurstFactor}};
    const Tallies tallies = TalliesOf(burst, seeds);
    for (const CallerKind& other : scenario.kinds) {
      if (other.name == bursting.name)
        continue;
      CAPTURE(other.name);
      CHECK(tallies.at(other.name).on_time_share() >=
            calm.at(other.name).on_time_share() - kMostLost);
    }
  }
}

TEST_SUITE_BEGIN("bursts-of-one-kind");

// Guards against the incident SHORT: a burst of one kind was served at the
// expense of the other kinds.
TEST_CASE("a burst of one kind doesn't degrade the other kinds, 7 hosts") {
  CheckBurstsOfEachKind(LanternsScenario(7), 8);
}

TEST_CASE("a burst of one kind doesn't degrade the other kinds, 77 hosts") {
  CheckBurstsOfEachKind(LanternsScenario(77), 1);
}

TEST_CASE("a burst of one kind doesn't degrade the other kinds, 295 hosts") {
  CheckBurstsOfEachKind(LanternsScenario(295), 1);
}

TEST_CASE(
    "a burst doesn't degrade the other kinds with the stage chains least "
    "urgent") {
  CheckBurstsOfEachKind(GrownScenario(), 1);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
