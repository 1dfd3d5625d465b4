#include <doctest/doctest.h>

#include <optional>

#include "LibForward/store_fleet.h"

// Fleets of hosts that follow the store, some of which it rejects or whose
// answers it loses.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

// Hosts have a new configuration at the latest this long after its
// confirmation: 2 s in small fleets, 3 s in large ones.
milliseconds ApplyTimeOf(size_t hosts) {
  return hosts <= 24 ? milliseconds(2000) : milliseconds(3000);
}

constexpr size_t kFleetSizes[] = {7, 8, 68};

StoreFleet RunningFleet(size_t hosts, uint64_t seed) {
  StoreFleet fleet(hosts, seed);
  fleet.WriteConfiguration(1);
  fleet.WriteEndpoint("e1", EndpointState::kServing);
  fleet.WriteEndpoint("e2", EndpointState::kServing);
  fleet.RunFor(seconds(8));
  REQUIRE(fleet.CountOlderThan(1) == 0);
  REQUIRE(fleet.FewestKnownHosts() == hosts);
  return fleet;
}

TEST_SUITE_BEGIN("store-fleet");

TEST_CASE("hosts that the store turns away have a new configuration in time") {
  for (const size_t hosts : kFleetSizes) {
    for (const StoreAccess access :
         {StoreAccess::kRejects, StoreAccess::kSilent}) {
      for (const size_t one_in : {2, 3}) {
        CAPTURE(hosts);
        CAPTURE(static_cast<int>(access));
        CAPTURE(one_in);
        StoreFleet fleet = RunningFleet(hosts, 1);
        fleet.SetAccessOfEach(one_in, access);
        for (uint64_t revision = 2; revision < 8; ++revision) {
          CAPTURE(revision);
          fleet.RunFor(milliseconds(370));
          fleet.WriteConfiguration(revision);
          fleet.RunFor(ApplyTimeOf(hosts));
          CHECK(fleet.CountOlderThan(revision) == 0);
        }
      }
    }
  }
}

// Guards against a host that waits for the end of a poll whose connection is
// silent, while its other calls are answered.
TEST_CASE("a lost answer doesn't keep a new configuration from a host") {
  for (const size_t hosts : kFleetSizes) {
    for (size_t host = 0; host < 7; ++host) {
      CAPTURE(hosts);
      CAPTURE(host);
      StoreFleet fleet = RunningFleet(hosts, host + 1);
      fleet.SetAccess(host, StoreAccess::kLosesConfiguration);
      fleet.WriteConfiguration(2);
      fleet.RunFor(ApplyTimeOf(hosts));
      CHECK(fleet.revision_of(host) == 2);
    }
  }
}

TEST_CASE("a host that the store turns away learns which zone is evacuated") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.SetAccessOfEach(2, StoreAccess::kRejects);
    fleet.EvacuateZone("z0");
    fleet.RunFor(ApplyTimeOf(hosts));
    CHECK(fleet.CountEvacuated("e1") == hosts);
  }
}

TEST_CASE("a host that the store turns away learns which endpoint leaves") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.SetAccessOfEach(2, StoreAccess::kRejects);
    fleet.RunFor(seconds(1));
    fleet.WriteEndpoint("e1", EndpointState::kLeaving);
    fleet.RunFor(ApplyTimeOf(hosts));
    CHECK(fleet.CountServing("e1") == 0);
    CHECK(fleet.CountServing("e2") == hosts);
  }
}

// Guards against polls among peers that grow with the store's outage.
TEST_CASE("hosts poll peers a few times a second while nobody is answered") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.SetAccessOfEach(1, StoreAccess::kRejects);
    fleet.RunFor(seconds(5));
    const uint64_t before = fleet.poll_count();
    fleet.RunFor(seconds(10));
    CHECK(fleet.poll_count() - before <= 20 * hosts);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
