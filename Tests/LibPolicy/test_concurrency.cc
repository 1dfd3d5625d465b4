#include <doctest/doctest.h>

#include "LibPolicy/pool_simulation.h"

namespace bilberry::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PolicyKind kBothPolicies[] = {PolicyKind::kBaseline,
                                        PolicyKind::kAdaptive};

TEST_SUITE_BEGIN("policy");

TEST_CASE("a wrongly declared size is corrected, unlike the baseline") {
  struct Row {
    uint32_t declared;
    double load;  // As a multiple of the capacity.
  };
  // Each endpoint serves four requests concurrently.
  for (const Row& row : {Row{1, 0.8}, Row{16, 5.0}}) {
    CAPTURE(row.declared);
    for (const PolicyKind policy : kBothPolicies) {
      CAPTURE(policy);
      Scenario scenario;
      scenario.policy = policy;
      scenario.hosts = 1;
      scenario.declared_slots = row.declared;
      Traffic urgent{"urgent", declare::Rank::kUrgent,
                     0.2 * scenario.Capacity(), milliseconds(250)};
      Traffic background{"background", declare::Rank::kBackground,
                         (row.load - 0.2) * scenario.Capacity(), seconds(2)};
      scenario.traffic = {urgent, background};
      const auto result = PoolSimulation(scenario).Run();
      const double urgent_in_time = result.traffic.at("urgent").InTimePercent();
      const double goodput =
          static_cast<double>(result.Sum().in_time) /
          (std::chrono::duration<double>(seconds(16)).count() *
           scenario.Capacity());
      MESSAGE("declared " << row.declared << ", policy "
                          << static_cast<int>(policy) << ": urgent in time "
                          << urgent_in_time << "%, goodput " << goodput);
      const bool is_met =
          urgent_in_time >= 99.0 && goodput >= 0.9 * std::min(row.load, 1.0);
      CHECK(is_met == (policy == PolicyKind::kAdaptive));
    }
  }
}

TEST_CASE("the limit shrinks on slow answers and grows only while in use") {
  const base::TimePoint start(seconds(1));
  ConcurrencyLimit unused(4);
  ConcurrencyLimit used(4);
  ConcurrencyLimit slow(4);
  for (int i = 0; i < 1000; ++i) {
    const auto now = start + i * milliseconds(50);
    unused.NoteAnswer(1.0, 2, now);
    used.NoteAnswer(1.0, used.value(), now);
    slow.NoteAnswer(10.0, 4, now);
  }
  CHECK(unused.value() == 4);
  CHECK(used.value() > 40);
  CHECK(slow.value() < 2);
}

TEST_CASE("loads reported by peers and endpoints count until they are stale") {
  declare::Pool pool;
  pool.slots_per_worker = 4;
  const auto dispatches = [&](std::optional<uint32_t> peer_share,
                              std::optional<uint32_t> report,
                              milliseconds age) {
    PoolScheduler scheduler(pool, {"zone"}, PolicyKind::kAdaptive, 1);
    base::TimePoint now(seconds(1));
    scheduler.SetEndpoints({{{"e"}, {"zone"}, {}, {}}}, now);
    if (peer_share)
      scheduler.NotePeerLoad({"peer"}, *peer_share, now);
    Work work;
    work.deadline = base::TimePoint::max();
    if (report) {
      scheduler.Offer(work, now);
      scheduler.NextDispatch(now);
      scheduler.Finish(
          {work.run, {"e"}, AttemptVerdict::kCancelled, {}, report}, now);
    }
    now += age;
    size_t n = 0;
    for (uint64_t i = 1; i <= 8; ++i) {
      work.run = base::RunId{i};
      scheduler.Offer(work, now);
    }
    while (scheduler.NextDispatch(now))
      ++n;
    return n;
  };
  const auto fresh = milliseconds(0);
  CHECK(dispatches({}, {}, fresh) == 4);
  CHECK(dispatches(1, {}, fresh) == 3);
  // Half of the limit is this host's, whatever load the peer reports.
  CHECK(dispatches(100, {}, fresh) == 2);
  CHECK(dispatches(100, {}, seconds(3)) == 4);
  CHECK(dispatches({}, 1, fresh) == 3);
  CHECK(dispatches({}, 100, fresh) == 2);
  CHECK(dispatches({}, 3, milliseconds(500)) == 4);
}

TEST_CASE(
    "the end of an old incarnation's attempt does not affect the new one") {
  declare::Pool pool;
  pool.slots_per_worker = 1;
  PoolScheduler scheduler(pool, {"zone"}, PolicyKind::kAdaptive, 1);
  const base::TimePoint now(seconds(1));
  Work work;
  work.deadline = base::TimePoint::max();
  for (uint64_t i = 1; i <= 2; ++i) {
    scheduler.SetEndpoints({{{"e"}, {"zone"}, {}, base::Incarnation{i}}}, now);
    work.run = base::RunId{i};
    scheduler.Offer(work, now);
    REQUIRE(scheduler.NextDispatch(now));
  }
  scheduler.Finish({base::RunId{1}, {"e"}, AttemptVerdict::kFailed, {}, {}},
                   now);
  CHECK(scheduler.Load().in_flight == 1);
  scheduler.Finish({base::RunId{2}, {"e"}, AttemptVerdict::kSucceeded, {}, {}},
                   now);
  CHECK(scheduler.Load().in_flight == 0);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
