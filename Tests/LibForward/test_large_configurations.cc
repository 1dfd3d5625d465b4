#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "LibForward/store_fleet.h"

// Configurations that take long to transfer over the links of hosts. Most hosts
// of these fleets have 10 Mbit/s.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

constexpr size_t kHosts = 68;
// Hosts have a new configuration at the latest this long after it was written.
constexpr milliseconds kApplyTime{3000};
constexpr milliseconds kBetweenChanges{500};

StoreFleet RunningFleet(const LinkLimits& limits, uint64_t seed = 1) {
  StoreFleet fleet(kHosts, seed);
  fleet.WriteConfiguration(1);
  fleet.WriteEndpoint("e1", EndpointState::kServing);
  fleet.RunFor(seconds(8));
  REQUIRE(fleet.CountOlderThan(1) == 0);
  REQUIRE(fleet.FewestKnownHosts() == kHosts);
  fleet.LimitLinks(limits);
  return fleet;
}

// How long all hosts take to have the configuration; `limit` if longer.
milliseconds TimeUntilAllHave(StoreFleet& fleet,
                              uint64_t revision,
                              milliseconds limit) {
  milliseconds passed(0);
  for (; passed < limit && fleet.CountOlderThan(revision) > 0;
       passed += milliseconds(20))
    fleet.RunFor(milliseconds(20));
  return passed;
}

// The store treats each second host so, relays among them.
void CheckHalfTurnedAway(StoreAccess access, size_t routes, uint64_t seed) {
  CAPTURE(static_cast<int>(access));
  CAPTURE(routes);
  CAPTURE(seed);
  StoreFleet fleet = RunningFleet({}, seed);
  fleet.SetAccessOfEach(2, access);
  for (uint64_t revision = 2; revision < 6; ++revision) {
    fleet.RunFor(milliseconds(370));
    fleet.WriteConfiguration(revision, routes);
    fleet.RunFor(kApplyTime);
    CHECK(fleet.CountOlderThan(revision) == 0);
  }
}

TEST_SUITE_BEGIN("large-configurations");

TEST_CASE("large configurations in a row are in force in time on slow links") {
  for (const double load : {0.0, 0.3}) {
    for (const size_t routes : {40, 1442, 2842, 5642}) {
      // Alone on such a loaded link it takes 2 s, more than half of the time.
      if (load > 0 && routes > 2842)
        continue;
      CAPTURE(load);
      CAPTURE(routes);
      StoreFleet fleet = RunningFleet({.load = load});
      constexpr uint64_t kChanges = 5;
      for (milliseconds at(0); at <= kApplyTime + kBetweenChanges * kChanges;
           at += kBetweenChanges) {
        const auto step = static_cast<uint64_t>(at / kBetweenChanges);
        const auto due =
            static_cast<uint64_t>((at - kApplyTime) / kBetweenChanges);
        if (at >= kApplyTime && due < kChanges) {
          CAPTURE(due);
          CHECK(fleet.CountOlderThan(2 + due) == 0);
        }
        if (step < kChanges)
          fleet.WriteConfiguration(2 + step, routes);
        fleet.RunFor(kBetweenChanges);
      }
    }
  }
}

// Guards against timeouts that count from the beginning of a call.
TEST_CASE("a configuration that takes seconds to transfer arrives") {
  constexpr milliseconds kTransferTime{3700};
  for (const int waited : {0, 5, 10, 15, 20, 22, 24}) {
    CAPTURE(waited);
    StoreFleet fleet = RunningFleet({.answer_mbps = 1, .load = 0.4});
    fleet.RunFor(seconds(waited));
    fleet.WriteConfiguration(2, 1442);
    CHECK(TimeUntilAllHave(fleet, 2, seconds(12)) < kTransferTime + seconds(2));
  }
}

TEST_CASE("a host that starts gets a configuration that takes seconds") {
  StoreFleet fleet = RunningFleet({.answer_mbps = 1, .load = 0.4});
  fleet.WriteConfiguration(2, 1442);
  REQUIRE(TimeUntilAllHave(fleet, 2, seconds(30)) < seconds(30));
  for (const size_t host : {10, 40}) {
    CAPTURE(host);
    fleet.Kill(host);
    fleet.RunFor(seconds(1));
    fleet.Start(host);
    CHECK(TimeUntilAllHave(fleet, 2, seconds(12)) < seconds(6));
  }
}

// Guards against copies of a document that compete for the link.
TEST_CASE("a host receives a document about once for each change") {
  constexpr size_t kRoutes = 2842;
  constexpr double kDocumentBytes = kRoutes * 235 * 4 / 3.0;
  constexpr uint64_t kChanges = 5;
  StoreFleet fleet = RunningFleet({.load = 0.3});
  for (uint64_t i = 0; i < kChanges; ++i) {
    fleet.WriteConfiguration(2 + i, kRoutes);
    fleet.RunFor(seconds(4));
  }
  REQUIRE(fleet.CountOlderThan(1 + kChanges) == 0);
  for (size_t i = 0; i < kHosts; ++i) {
    CAPTURE(i);
    CHECK(fleet.received_bytes(i) < (kChanges + 1) * kDocumentBytes);
  }
}

TEST_CASE(
    "hosts that the store turns away have a large configuration in time") {
  for (const StoreAccess access :
       {StoreAccess::kRejects, StoreAccess::kSilent}) {
    for (const size_t routes : {1442, 2842}) {
      CheckHalfTurnedAway(access, routes, 1);
    }
  }
}

TEST_CASE("a store that falls silent amid a document doesn't keep it away") {
  for (const size_t host : {7, 20, 50}) {
    CAPTURE(host);
    StoreFleet fleet = RunningFleet({});
    fleet.WriteConfiguration(2, 2842);
    fleet.RunFor(milliseconds(300));
    REQUIRE(fleet.revision_of(host) == 1);
    fleet.SetAccess(host, StoreAccess::kSilent);
    fleet.RunFor(kApplyTime - milliseconds(300));
    CHECK(fleet.revision_of(host) == 2);
  }
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("silent-relays");

// Guards against hosts that hear of a configuration from one relay alone, which
// the store leaves without an answer itself.
TEST_CASE("a silent store doesn't delay large configurations, by seeds") {
  for (uint64_t seed = 2; seed <= 8; ++seed)
    CheckHalfTurnedAway(StoreAccess::kSilent, 2842, seed);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
