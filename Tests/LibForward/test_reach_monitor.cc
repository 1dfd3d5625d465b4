#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibForward/reach_monitor.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int64_t ms) {
  return base::TimePoint(milliseconds(ms));
}

std::vector<ListedEndpoint> Endpoints(
    std::initializer_list<std::pair<const char*, int>> pools) {
  std::vector<ListedEndpoint> endpoints;
  for (const auto& [pool, count] : pools) {
    for (int i = 0; i < count; ++i) {
      const std::string name = pool + std::to_string(i);
      endpoints.push_back({{name}, {pool}, {"z"}, {"10.0.0.1", 80}});
    }
  }
  return endpoints;
}

ReachMonitor Monitor() {
  ReachMonitor monitor(1);
  monitor.SetEndpoints(Endpoints({{"a", 9}, {"b", 3}, {"c", 1}}), At(0));
  return monitor;
}

constexpr auto kWork = ReachMonitor::Purpose::kWork;
constexpr auto kProbe = ReachMonitor::Purpose::kProbe;
const base::PoolName kA{"a"};
const base::PoolName kB{"b"};
const base::PoolName kC{"c"};

TEST_CASE("failures at single endpoints are no cut") {
  ReachMonitor monitor = Monitor();
  for (int64_t i = 0; i < 10; ++i)
    monitor.NoteUnreachable({"a0"}, kProbe, At(100 * i), At(100 * i + 50));
  monitor.NoteUnreachable({"a1"}, kProbe, At(1000), At(1050));
  CHECK_FALSE(monitor.IsCutFrom(kA));
  CHECK_FALSE(monitor.is_cut_off());
}

TEST_CASE("a pool none of whose endpoints is reached is cut, others aren't") {
  ReachMonitor monitor = Monitor();
  for (const char* name : {"b0", "b1", "b2"})
    monitor.NoteUnreachable({name}, kProbe, At(100), At(500));
  CHECK(monitor.IsCutFrom(kB));
  CHECK_FALSE(monitor.IsCutFrom(kA));
  CHECK_FALSE(monitor.is_cut_off());
  monitor.NoteReached({"b1"}, At(600), At(610));
  CHECK_FALSE(monitor.IsCutFrom(kB));
}

TEST_CASE("a host that reaches endpoints of no pool is cut off from all") {
  ReachMonitor monitor = Monitor();
  for (const char* name : {"a0", "a1", "b0", "b1"})
    monitor.NoteUnreachable({name}, kProbe, At(100), At(500));
  CHECK(monitor.is_cut_off());
  CHECK(monitor.IsCutFrom(kC));
  monitor.NoteReached({"c0"}, At(600), At(610));
  CHECK_FALSE(monitor.is_cut_off());
  CHECK_FALSE(monitor.IsCutFrom(kC));
}

// Guards against channels that live on while new ones are refused.
TEST_CASE("a connection made before the failures doesn't disprove a cut") {
  ReachMonitor monitor = Monitor();
  for (const char* name : {"a0", "a1", "a2", "a3", "a4"})
    monitor.NoteUnreachable({name}, kProbe, At(1000), At(1400));
  monitor.NoteReached({"a7"}, At(900), At(1500));
  CHECK(monitor.IsCutFrom(kA));
  monitor.NoteReached({"a7"}, At(1450), At(1500));
  CHECK_FALSE(monitor.IsCutFrom(kA));
}

// Guards against crowded endpoints that are taken for a cut: they refuse new
// connections for a moment.
TEST_CASE("failures are no cut before a probe has failed, too") {
  ReachMonitor monitor = Monitor();
  for (const char* name : {"a0", "a1", "a2", "a3", "a4", "b0", "b1", "b2"})
    monitor.NoteUnreachable({name}, kWork, At(100), At(500));
  CHECK_FALSE(monitor.is_cut_off());
  CHECK_FALSE(monitor.IsCutFrom(kA));
  monitor.NoteUnreachable({"a5"}, kProbe, At(500), At(900));
  CHECK(monitor.IsCutFrom(kA));
  CHECK_FALSE(monitor.is_cut_off());
  monitor.NoteUnreachable({"b1"}, kProbe, At(500), At(900));
  CHECK(monitor.is_cut_off());
}

TEST_CASE("failures that are far apart are no cut") {
  ReachMonitor monitor = Monitor();
  monitor.NoteUnreachable({"a0"}, kProbe, At(0), At(400));
  monitor.NoteUnreachable({"a1"}, kProbe, At(2500), At(2900));
  monitor.NoteUnreachable({"a2"}, kProbe, At(5000), At(5400));
  CHECK_FALSE(monitor.IsCutFrom(kA));
}

TEST_CASE("a cut lasts until an endpoint is reached, and is probed") {
  ReachMonitor monitor = Monitor();
  CHECK(monitor.TakeDueProbes(At(0)).empty());
  for (const char* name : {"a0", "a1", "a2", "a3", "a4"})
    monitor.NoteUnreachable({name}, kProbe, At(100), At(500));
  size_t probes = 0;
  for (int64_t ms = 500; ms < 10'500; ms += 50) {
    for (const ListedEndpoint& it : monitor.TakeDueProbes(At(ms))) {
      ++probes;
      if (it.pool == kA)
        monitor.NoteUnreachable(it.name, kProbe, At(ms), At(ms));
      else
        monitor.NoteReached(it.name, At(ms), At(ms));
    }
    REQUIRE(monitor.IsCutFrom(kA));
    REQUIRE_FALSE(monitor.is_cut_off());
  }
  // One of each pool, twice a second.
  CHECK(probes <= 20 * 3);
  CHECK(probes >= 19 * 3);
}

TEST_CASE("a pool without endpoints isn't cut") {
  ReachMonitor monitor = Monitor();
  for (const char* name : {"b0", "b1", "b2"})
    monitor.NoteUnreachable({name}, kProbe, At(100), At(500));
  REQUIRE(monitor.IsCutFrom(kB));
  monitor.SetEndpoints(Endpoints({{"a", 9}}), At(600));
  CHECK_FALSE(monitor.IsCutFrom(kB));
}

}  // namespace
}  // namespace bilberry::forward
