#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibEmulation/emulation.h"
#include "LibEmulation/half_load.h"

// Hosts that are partitioned from all endpoints, while callers, the store and
// the other hosts still reach them.
namespace bilberry::emulation {
namespace {

using std::chrono::seconds;

// Checks the rule: from three seconds after the cut began, requests at these
// hosts are served at least two thirds as often as those at the others, or no
// more than 10 and one in fifty of all fail there.
void CheckServed(const EmulationReport& report) {
  const ServedTally& cut = report.at_cut_hosts;
  const ServedTally& others = report.beside_cut_hosts;
  CAPTURE(cut.requests);
  CAPTURE(cut.served);
  CAPTURE(others.requests);
  CAPTURE(others.served);
  REQUIRE(cut.requests > 10);
  CHECK(others.share() >= 0.9);
  const bool are_few_lost =
      cut.requests - cut.served <= 10 + (cut.requests + others.requests) / 50;
  CHECK((are_few_lost || cut.share() >= others.share() * 2 / 3));
}

TEST_SUITE_BEGIN("cut-off-hosts");

TEST_CASE("callers of hosts that reach no endpoint are served by others") {
  for (const bool refuses : {false, true}) {
    for (const std::vector<uint32_t>& hosts :
         {std::vector<uint32_t>{1, 2, 4, 6}, std::vector<uint32_t>{2, 4},
          std::vector<uint32_t>{0, 3}, std::vector<uint32_t>{5}}) {
      for (const uint64_t seed : {1, 2}) {
        CAPTURE(refuses);
        CAPTURE(hosts.size());
        CAPTURE(seed);
        LoadScenario scenario = AtHalfLoad(SteadyScenario(7));
        for (const uint32_t host : hosts)
          scenario.endpoint_cuts.push_back(
              {host, seconds(5), seconds(12), refuses});
        CheckServed(Emulation(scenario, {seed}).Run());
      }
    }
  }
}

TEST_CASE("callers of a zone's hosts that reach no endpoint are served") {
  LoadScenario scenario = AtHalfLoad(GrownScenario());
  // Hosts are assigned to four zones in turn.
  for (uint32_t host = 0; host < scenario.hosts; host += 4)
    scenario.endpoint_cuts.push_back({host, seconds(5), seconds(10), false});
  CheckServed(Emulation(scenario, {1}).Run());
}

TEST_CASE("a host serves its callers itself again after the cut") {
  LoadScenario scenario = AtHalfLoad(SteadyScenario(7));
  for (const uint32_t host : {1, 2, 4})
    scenario.endpoint_cuts.push_back({host, seconds(3), seconds(5), false});
  EmulationReport report = Emulation(scenario, {1}).Run();
  // Four seconds after the end of the cut.
  for (size_t second = 12; second < report.seconds.size(); ++second) {
    CAPTURE(second);
    const CallerTally& tally = report.seconds[second];
    CHECK(tally.failed + tally.refused == 0);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::emulation
