#include <doctest/doctest.h>

#include <string>

#include "LibBase/random.h"
#include "LibForward/host_assignment.h"
#include "LibForward/store_fleet.h"

// The rows by which hosts know each other, in a store that performs writes late
// and loses their answers.
namespace bilberry::forward {
namespace {

using std::chrono::seconds;

constexpr size_t kFleetSizes[] = {3, 7, 68};
constexpr const char* kZones[] = {"z0", "z1", "z2"};

StoreFleet RunningFleet(size_t hosts, uint64_t seed) {
  StoreFleet fleet(hosts, seed);
  fleet.WriteConfiguration(1);
  fleet.WriteEndpoint("e1", EndpointState::kServing);
  fleet.RunFor(seconds(8));
  REQUIRE(fleet.IsTableRight());
  return fleet;
}

// At rest no two hosts give out the permits of one endpoint.
void CheckAtRest(const StoreFleet& fleet) {
  CHECK(fleet.IsTableRight());
  for (const char* zone : kZones) {
    for (int i = 0; i < 12; ++i)
      CHECK(fleet.CountLimitOwners("e" + std::to_string(i), zone) == 1);
  }
}

TEST_SUITE_BEGIN("own-rows");

// Guards against two owners of one limit after a planned restart: the removal
// of the host's row, performed late, took away the row of its next process.
TEST_CASE("a removal that is performed after a restart removes nothing") {
  for (const size_t hosts : kFleetSizes) {
    for (const size_t host : {0, 1, 2}) {
      CAPTURE(hosts);
      CAPTURE(host);
      StoreFleet fleet = RunningFleet(hosts, host + 1);
      fleet.DelayWrites(host, seconds(5));
      fleet.Stop(host);
      fleet.RunFor(milliseconds(100));
      fleet.DelayWrites(host, milliseconds(0));
      fleet.RunFor(milliseconds(3200));
      REQUIRE_FALSE(fleet.is_running(host));
      fleet.Start(host);
      fleet.RunFor(milliseconds(1000));
      REQUIRE(fleet.IsTableRight());
      for (int i = 0; i < 300; ++i) {
        fleet.RunFor(milliseconds(20));
        REQUIRE(fleet.IsTableRight());
      }
      CheckAtRest(fleet);
    }
  }
}

// Guards against the row of a process that has ended: its write, performed
// late, brings an address back at which nobody listens.
TEST_CASE("a write that is performed after a stop lists nothing") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    fleet.Stop(1);
    fleet.RunFor(milliseconds(3500));
    REQUIRE_FALSE(fleet.is_running(1));
    // Once at its start, and once when its row has to be put right.
    for (const bool is_start : {true, false}) {
      CAPTURE(is_start);
      if (!is_start) {
        fleet.Start(1);
        fleet.RunFor(seconds(2));
      }
      fleet.DelayWrites(1, seconds(3));
      if (is_start)
        fleet.Start(1);
      else
        fleet.RemoveHostRow(1);
      fleet.RunFor(milliseconds(1000));
      fleet.DelayWrites(1, milliseconds(0));
      fleet.Stop(1);
      fleet.RunFor(seconds(8));
      CheckAtRest(fleet);
    }
  }
}

// Guards against a host that others don't know any more, whoever removed its
// row (a process of an earlier release does so whatever the fence is).
TEST_CASE("a row that was removed comes back soon") {
  for (const size_t hosts : kFleetSizes) {
    CAPTURE(hosts);
    StoreFleet fleet = RunningFleet(hosts, 1);
    const uint64_t before = fleet.write_count();
    fleet.RemoveHostRow(0);
    fleet.RunFor(seconds(3));
    CheckAtRest(fleet);
    CHECK(fleet.write_count() == before + 1);
  }
}

// Guards against a host that takes tasks which others don't expect of it.
TEST_CASE("a host that the table doesn't show takes no tasks from others") {
  const PeerHost own{{"own"}, {"10.0.0.1", 1}, {"z"}, 1, 0};
  const PeerHost peer{{"peer"}, {"10.0.0.2", 1}, {"z"}, 0.1, 0};
  PeerHost elsewhere = own;
  elsewhere.address.port = 2;
  const EndpointLimitKey limit{{"e"}, {"z"}};
  const PlacementDomain domain{{"p"}, {"z"}};
  const auto takes_tasks = [&](std::vector<PeerHost> hosts) {
    HostAssignment assignment(own);
    assignment.SetPools({{"p"}});
    assignment.SetHosts(hosts);
    const bool owns_limit = assignment.IsOwn(assignment.LimitOwnerOf(limit));
    CHECK(owns_limit ==
          assignment.IsOwn(assignment.DispatcherOf({{{"z"}}, {"p"}})));
    CHECK(owns_limit == assignment.IsOwn(assignment.PlacementOwnerOf(domain)));
    return owns_limit;
  };
  CHECK(takes_tasks({own, peer}));
  CHECK_FALSE(takes_tasks({peer}));
  CHECK_FALSE(takes_tasks({peer, elsewhere}));
  CHECK(takes_tasks({}));
}

// Guards against a stopping host that a restored store lists again.
TEST_CASE("a stopping host removes its row again from a restored store") {
  StoreFleet fleet = RunningFleet(7, 1);
  fleet.CopyStore();
  fleet.Stop(2);
  fleet.RunFor(milliseconds(500));
  REQUIRE(fleet.CountListedHosts() == 6);
  fleet.RestoreStore();
  REQUIRE(fleet.CountListedHosts() == 7);
  fleet.RunFor(seconds(6));
  CheckAtRest(fleet);
}

// Guards against rows that a host doesn't write again, because a write of its
// own, performed late, seems to be a later one.
TEST_CASE("a restored store performs late what was written before") {
  for (const int64_t delay : {1000, 3000, 6000}) {
    CAPTURE(delay);
    StoreFleet fleet = RunningFleet(7, 1);
    fleet.CopyStore();
    fleet.DelayWrites(2, milliseconds(delay));
    fleet.Stop(2);
    fleet.RunFor(milliseconds(3200));
    fleet.DelayWrites(2, milliseconds(0));
    fleet.Start(2);
    fleet.RunFor(milliseconds(500));
    fleet.RestoreStore();
    fleet.RunFor(seconds(8));
    CheckAtRest(fleet);
  }
}

TEST_CASE("340 hosts write their rows again at a rate that the store bears") {
  constexpr uint64_t kMaxWritesPerSecond = 400;
  StoreFleet fleet = RunningFleet(340, 1);
  fleet.CopyStore();
  fleet.RunFor(seconds(2));
  fleet.RestoreStore();
  for (int i = 0; i < 6; ++i) {
    const uint64_t before = fleet.write_count();
    fleet.RunFor(seconds(1));
    CHECK(fleet.write_count() - before <= kMaxWritesPerSecond);
  }
  CHECK(fleet.IsTableRight());
}

// Orders of events drawn from a seed; afterwards everything comes to rest.
TEST_CASE("whatever the order, the table holds the hosts that run") {
  constexpr size_t kHosts = 7;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    StoreFleet fleet = RunningFleet(kHosts, seed);
    base::Random random(seed);
    for (int i = 0; i < 30; ++i) {
      const size_t host = random.Below(kHosts);
      const uint64_t event = random.Below(10);
      if (event < 3)
        fleet.DelayWrites(host, milliseconds(random.Below(6000)));
      else if (event < 5)
        fleet.DelayWrites(host, milliseconds(0));
      else if (event == 5)
        fleet.RemoveHostRow(host);
      else if (!fleet.is_running(host))
        fleet.Start(host);
      else if (event < 8)
        fleet.Stop(host);
      else
        fleet.Kill(host);
      fleet.RunFor(milliseconds(random.Below(1500)));
    }
    for (size_t host = 0; host < kHosts; ++host) {
      fleet.DelayWrites(host, milliseconds(0));
      // A stopping host ends within these; the row of a killed one stays until
      // it runs again.
      fleet.RunFor(milliseconds(500));
    }
    for (size_t host = 0; host < kHosts; ++host) {
      if (!fleet.is_running(host))
        fleet.Start(host);
    }
    fleet.RunFor(seconds(12));
    CheckAtRest(fleet);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
