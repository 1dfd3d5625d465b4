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
// What a kind that stays at its own rate may lose of its share on time.
constexpr double kMostLost = 0.05;

// Callers who came while the burst lasted, by kind.
using Tallies = std::map<std::string, CallerTally>;

// Of days with seeds from 1 on.
Tallies TalliesOf(const LoadScenario& day, uint64_t seeds) {
  Tallies tallies;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const EmulationReport report = Emulation(day, {seed}).Run();
    for (const auto& [kind, each_second] : report.seconds_of_kinds) {
      for (size_t second = kBurstBegins; second < kBurstEnds; ++second) {
        tallies[kind].asked += each_second.at(second).asked;
        tallies[kind].on_time += each_second.at(second).on_time;
      }
    }
  }
  return tallies;
}

void CheckBurstsOfEachKind(LoadScenario day, uint64_t seeds) {
  day.lasts = seconds(kBurstEnds + 1);
  const Tallies calm = TalliesOf(day, seeds);
  for (const CallerKind& bursting : day.kinds) {
    CAPTURE(bursting.name);
    LoadScenario burst = day;
    burst.bursts = {{bursting.name, seconds(kBurstBegins),
                     seconds(kBurstEnds - kBurstBegins), kBurstFactor}};
    const Tallies tallies = TalliesOf(burst, seeds);
    for (const CallerKind& other : day.kinds) {
      if (other.name == bursting.name)
        continue;
      CAPTURE(other.name);
      CHECK(tallies.at(other.name).on_time_share() >=
            calm.at(other.name).on_time_share() - kMostLost);
    }
  }
}

TEST_SUITE_BEGIN("bursts-of-one-kind");

// Guards against the incident SHORT: one kind's burst served at the others'
// cost.
TEST_CASE("a burst of one kind takes nothing from the others' part, 7 hosts") {
  CheckBurstsOfEachKind(LanternsScenario(7), 8);
}

TEST_CASE("a burst of one kind takes nothing from the others' part, 77 hosts") {
  CheckBurstsOfEachKind(LanternsScenario(77), 1);
}

TEST_CASE(
    "a burst of one kind takes nothing from the others' part, 295 hosts") {
  CheckBurstsOfEachKind(LanternsScenario(295), 1);
}

TEST_CASE(
    "a burst takes nothing from other kinds where the chains rank lowest") {
  CheckBurstsOfEachKind(GrownScenario(), 1);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
