#include <doctest/doctest.h>

#include <algorithm>
#include <string>

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

// Runs for `time`; returns the highest number of hosts that would have sent
// requests to the endpoint meanwhile.
size_t MostServing(StoreFleet& fleet,
                   const std::string& endpoint,
                   milliseconds time) {
  size_t most = 0;
  for (milliseconds passed(0); passed < time; passed += milliseconds(20)) {
    fleet.RunFor(milliseconds(20));
    most = std::max(most, fleet.CountServing(endpoint));
  }
  return most;
}

// Guards against hosts that ask a restored store for what came after a version
// of the time before, which is assigned to other rows now.
TEST_CASE("a configuration written to a restored store reaches all hosts") {
  for (const size_t hosts : kFleetSizes) {
    for (const uint64_t written : {0, 20, 100'000}) {
      CAPTURE(hosts);
      CAPTURE(written);
      StoreFleet fleet = RunningFleet(hosts, 1);
      fleet.CopyStore();
      fleet.RunFor(seconds(3));
      fleet.WriteConfiguration(2);
      fleet.RunFor(seconds(1));
      fleet.RestoreStore();
      fleet.WriteConfiguration(2);
      fleet.WriteConfiguration(3);
      fleet.EvacuateZone("z0");
      fleet.WriteElsewhere(written);
      fleet.RunFor(ApplyTimeOf(hosts));
      CHECK(fleet.CountOlderThan(3) == 0);
      CHECK(fleet.CountEvacuated("e1") == hosts);
    }
  }
}

TEST_CASE("a restored store doesn't bring an older configuration into force") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.CopyStore();
    fleet.WriteConfiguration(2);
    fleet.EvacuateZone("z0");
    fleet.RunFor(seconds(3));
    REQUIRE(fleet.CountOlderThan(2) == 0);
    fleet.RestoreStore();
    for (int i = 0; i < 200; ++i) {
      fleet.RunFor(milliseconds(20));
      REQUIRE(fleet.CountOlderThan(2) == 0);
      REQUIRE(fleet.CountServing("e1") == 0);
    }
  }
}

TEST_CASE("endpoints that left don't come back with an older store") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.WriteEndpoint("gone", EndpointState::kServing);
    fleet.RunFor(seconds(2));
    REQUIRE(fleet.CountServing("gone") == hosts);
    fleet.CopyStore();
    fleet.RemoveEndpoint("gone");
    fleet.WriteEndpoint("e1", EndpointState::kLeaving);
    fleet.WriteEndpoint("e3", EndpointState::kServing);
    fleet.RunFor(seconds(3));
    REQUIRE(fleet.CountServing("e3") == hosts);
    fleet.RestoreStore();
    fleet.WriteElsewhere(100'000);
    CHECK(MostServing(fleet, "gone", milliseconds(500)) == 0);
    // Endpoints that live write their entries again.
    fleet.WriteEndpoint("e1", EndpointState::kLeaving);
    fleet.WriteEndpoint("e3", EndpointState::kServing);
    CHECK(MostServing(fleet, "gone", seconds(4)) == 0);
    CHECK(MostServing(fleet, "e1", seconds(4)) == 0);
    CHECK(fleet.CountServing("e3") == hosts);
    CHECK(fleet.CountServing("e2") == hosts);
  }
}

TEST_CASE("endpoints that an older store lacks stay in use") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.CopyStore();
    fleet.WriteEndpoint("e3", EndpointState::kServing);
    fleet.RunFor(seconds(3));
    fleet.RestoreStore();
    for (int i = 0; i < 60; ++i) {
      fleet.RunFor(milliseconds(20));
      REQUIRE(fleet.CountServing("e3") == hosts);
    }
    fleet.WriteEndpoint("e3", EndpointState::kServing);
    fleet.RunFor(seconds(4));
    CHECK(fleet.CountServing("e3") == hosts);
  }
}

TEST_CASE("hosts write their rows again after the store was restored") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet(hosts, 1);
    fleet.CopyStore();
    fleet.WriteConfiguration(1);
    fleet.WriteEndpoint("e1", EndpointState::kServing);
    fleet.RunFor(seconds(8));
    REQUIRE(fleet.CountListedHosts() == hosts);
    fleet.RestoreStore();
    REQUIRE(fleet.CountListedHosts() == 0);
    for (int i = 0; i < 100; ++i) {
      fleet.RunFor(milliseconds(20));
      REQUIRE(fleet.FewestKnownHosts() == hosts);
    }
    CHECK(fleet.CountListedHosts() == hosts);
  }
}

TEST_CASE("hosts write their rows again after two restorations in a row") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet(hosts, 1);
    fleet.CopyStore();
    fleet.WriteConfiguration(1);
    fleet.WriteEndpoint("e1", EndpointState::kServing);
    fleet.RunFor(seconds(8));
    fleet.RestoreStore();
    // The first hosts have heard of it, and none has listed a table again.
    fleet.RunFor(milliseconds(4));
    fleet.RestoreStore();
    fleet.RunFor(seconds(2));
    CHECK(fleet.CountListedHosts() == hosts);
    fleet.WriteConfiguration(2);
    fleet.RunFor(ApplyTimeOf(hosts));
    CHECK(fleet.CountOlderThan(2) == 0);
  }
}

TEST_CASE("a host that the store turns away follows its peers to a new era") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.CopyStore();
    fleet.RunFor(seconds(3));
    fleet.SetAccessOfEach(2, StoreAccess::kRejects);
    fleet.RestoreStore();
    fleet.RunFor(seconds(2));
    fleet.WriteConfiguration(2);
    fleet.WriteEndpoint("e3", EndpointState::kServing);
    fleet.RunFor(ApplyTimeOf(hosts));
    CHECK(fleet.CountOlderThan(2) == 0);
    CHECK(fleet.CountServing("e3") == hosts);
  }
}

TEST_CASE("an answer from before the store was restored is dropped") {
  ForwardContext context{ForwardOptions()};
  StoreSynchronizer synchronizer(context);
  const base::TimePoint now(seconds(1));
  const auto row = [](const char* name) {
    return FeedRow{name, ListedEndpoint{{name}, {"p"}, {"z"}, {"10.0.0.1", 1}}};
  };
  synchronizer.Handle(
      TableListed{FeedKind::kEndpoints, {row("e1")}, false, 90, 1}, now);
  synchronizer.Handle(TableChanged{FeedKind::kEndpoints, {row("e2")}, 40, 2},
                      now);
  synchronizer.Handle(
      TableListed{FeedKind::kEndpoints, {row("e1")}, false, 40, 2}, now);
  synchronizer.Handle(
      TableChanged{
          FeedKind::kEndpoints, {{"e1", RowRemoved{}}, row("e3")}, 91, 1},
      now);
  const auto endpoints = synchronizer.endpoints();
  REQUIRE(endpoints.size() == 1);
  CHECK(endpoints.front().name.value == "e1");
}

// Guards against hosts that all wait for each other after an outage.
TEST_CASE("hosts have what was written when the store answers all again") {
  for (const size_t hosts : {7, 8}) {
    for (const StoreAccess access :
         {StoreAccess::kRejects, StoreAccess::kSilent}) {
      CAPTURE(hosts);
      CAPTURE(static_cast<int>(access));
      StoreFleet fleet = RunningFleet(hosts, 1);
      fleet.SetAccessOfEach(1, access);
      fleet.RunFor(seconds(6));
      fleet.WriteConfiguration(2);
      fleet.SetAccessOfEach(1, StoreAccess::kAnswers);
      // The longest delay after a failed call, with its jitter.
      fleet.RunFor(milliseconds(access == StoreAccess::kRejects ? 610 : 1600));
      CHECK(fleet.CountOlderThan(2) == 0);
    }
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
