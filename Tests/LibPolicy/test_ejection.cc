#include <doctest/doctest.h>

#include <set>

#include "LibPolicy/pool_simulation.h"

namespace bilberry::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint kNow(seconds(1));

PoolScheduler MakeScheduler(size_t endpoints) {
  declare::Pool pool;
  pool.slots_per_worker = 8;
  PoolScheduler scheduler(pool, {"zone"}, PolicyKind::kAdaptive, 1);
  std::vector<EndpointTarget> targets;
  for (size_t i = 0; i < endpoints; ++i)
    targets.push_back({{std::to_string(i)}, {"zone"}, {}, {}});
  scheduler.SetEndpoints(targets, kNow);
  return scheduler;
}

// Sends one request and ends it with `verdict`. Returns its endpoint, or ""
// when none has room.
std::string RunOne(PoolScheduler& scheduler,
                   AttemptVerdict verdict,
                   base::TimePoint now,
                   milliseconds latency = milliseconds(10)) {
  Work work;
  work.service = {milliseconds(10), milliseconds(10)};
  work.deadline = base::TimePoint::max();
  scheduler.Offer(work, now);
  const auto dispatch = scheduler.NextDispatch(now);
  if (!dispatch) {
    scheduler.Withdraw(work.run);
    return "";
  }
  scheduler.Finish({work.run, dispatch->endpoint, verdict, latency, {}}, now);
  return dispatch->endpoint.value;
}

// Fails all requests to endpoint "0" until it gets no more.
void EjectFirst(PoolScheduler& scheduler, base::TimePoint now) {
  for (int i = 0; i < 200; ++i) {
    Work work;
    work.service = {milliseconds(10), milliseconds(10)};
    work.deadline = base::TimePoint::max();
    scheduler.Offer(work, now);
    const auto dispatch = scheduler.NextDispatch(now);
    REQUIRE(dispatch);
    const auto verdict = dispatch->endpoint.value == "0"
                             ? AttemptVerdict::kFailed
                             : AttemptVerdict::kSucceeded;
    scheduler.Finish(
        {work.run, dispatch->endpoint, verdict, milliseconds(10), {}}, now);
  }
}

size_t CountAtFirst(PoolScheduler& scheduler,
                    AttemptVerdict verdict,
                    base::TimePoint now) {
  size_t n = 0;
  for (int i = 0; i < 100; ++i)
    n += RunOne(scheduler, verdict, now) == "0" ? 1 : 0;
  return n;
}

SimulationResult SimulateOutage(PolicyKind policy, EndpointMode mode) {
  Scenario scenario;
  scenario.policy = policy;
  scenario.length = seconds(30);
  scenario.after_change = seconds(3);
  scenario.traffic = {{"urgent", declare::Rank::kUrgent,
                       0.3 * scenario.Capacity(), milliseconds(300)},
                      {"ordinary", declare::Rank::kOrdinary,
                       0.4 * scenario.Capacity(), milliseconds(1000)}};
  scenario.changes = {{seconds(6), 0, 10.0}, {seconds(16), 0, 1.0, mode}};
  return PoolSimulation(scenario).Run();
}

bool MeetsTarget(const SimulationResult& result) {
  const double urgent = result.traffic.at("urgent").InTimePercent();
  const double calls = 1 + static_cast<double>(result.retries) /
                               static_cast<double>(result.first_tries);
  MESSAGE("urgent in time " << urgent << "%, calls to first tries " << calls);
  return urgent >= 99.0 && calls <= 1.1;
}

TEST_SUITE_BEGIN("policy");

TEST_CASE(
    "an endpoint that is slow and then dead costs few deadlines and retries") {
  for (const EndpointMode mode :
       {EndpointMode::kRefusing, EndpointMode::kSilent}) {
    CAPTURE(static_cast<int>(mode));
    const auto baseline = SimulateOutage(PolicyKind::kBaseline, mode);
    const auto present = SimulateOutage(PolicyKind::kAdaptive, mode);
    CHECK(MeetsTarget(present));
    if (mode == EndpointMode::kSilent)
      CHECK_FALSE(MeetsTarget(baseline));
    else
      CHECK(10 * present.retries <= baseline.retries);
  }
}

TEST_CASE("failures and slow answers eject an endpoint, refusals do not") {
  struct Row {
    AttemptVerdict verdict;
    milliseconds latency;
    bool is_ejected;
  };
  const Row rows[] = {
      {AttemptVerdict::kSucceeded, milliseconds(50), false},
      {AttemptVerdict::kSucceeded, milliseconds(51), true},
      {AttemptVerdict::kFailed, milliseconds(1), true},
      {AttemptVerdict::kUnreachable, milliseconds(1), true},
      {AttemptVerdict::kTimedOut, milliseconds(20), false},
      {AttemptVerdict::kTimedOut, milliseconds(21), true},
      {AttemptVerdict::kRefusedNotRun, milliseconds(1), false},
      {AttemptVerdict::kCancelled, milliseconds(900), false},
  };
  for (const Row& row : rows) {
    CAPTURE(static_cast<int>(row.verdict));
    CAPTURE(row.latency.count());
    PoolScheduler scheduler = MakeScheduler(2);
    for (int i = 0; i < 6; ++i)
      RunOne(scheduler, row.verdict, kNow, row.latency);
    // With waiting work, NextWakeup() is the end of the ejection.
    scheduler.Offer(Work(), kNow);
    CHECK(scheduler.NextWakeup().has_value() == row.is_ejected);
  }
}

TEST_CASE("at most half of a pool is ejected") {
  for (const size_t endpoints : {1, 2, 3, 9}) {
    CAPTURE(endpoints);
    PoolScheduler scheduler = MakeScheduler(endpoints);
    for (int i = 0; i < 500; ++i)
      REQUIRE(!RunOne(scheduler, AttemptVerdict::kFailed, kNow).empty());
    std::set<std::string> used;
    for (int i = 0; i < 500; ++i)
      used.insert(RunOne(scheduler, AttemptVerdict::kCancelled, kNow));
    CHECK(used.size() == endpoints - endpoints / 2);
  }
}

TEST_CASE(
    "an ejected endpoint returns by a single probe, after doubling times") {
  PoolScheduler scheduler = MakeScheduler(4);
  EjectFirst(scheduler, kNow);
  const auto nothing = AttemptVerdict::kCancelled;
  CHECK(CountAtFirst(scheduler, nothing, kNow + milliseconds(999)) == 0);
  // A failed probe: ejected for two seconds.
  const auto first_return = kNow + seconds(1);
  EjectFirst(scheduler, first_return);
  CHECK(CountAtFirst(scheduler, nothing, first_return + milliseconds(1999)) ==
        0);
  // Only one probe is in flight at a time.
  const auto second_return = first_return + seconds(2);
  size_t probes = 0;
  std::vector<Dispatch> sent;
  for (uint64_t run = 1; run <= 12; ++run) {
    Work work;
    work.run = base::RunId{run};
    work.service = {milliseconds(10), milliseconds(10)};
    work.deadline = base::TimePoint::max();
    scheduler.Offer(work, second_return);
    sent.push_back(*scheduler.NextDispatch(second_return));
    probes += sent.back().endpoint.value == "0" ? 1 : 0;
  }
  CHECK(probes == 1);
  for (const Dispatch& dispatch : sent)
    scheduler.Finish({dispatch.run,
                      dispatch.endpoint,
                      AttemptVerdict::kSucceeded,
                      milliseconds(10),
                      {}},
                     second_return);
  CHECK(CountAtFirst(scheduler, AttemptVerdict::kSucceeded, second_return) >
        10);
}

TEST_CASE("with waiting work the next wakeup is the end of an ejection") {
  PoolScheduler scheduler = MakeScheduler(2);
  EjectFirst(scheduler, kNow);
  CHECK_FALSE(scheduler.NextWakeup());
  Work work;
  work.deadline = base::TimePoint::max();
  scheduler.Offer(work, kNow);
  CHECK(scheduler.NextWakeup() == kNow + seconds(1));
}

TEST_CASE("an endpoint gets no requests until its Retry-After time ends") {
  for (const PolicyKind policy :
       {PolicyKind::kBaseline, PolicyKind::kAdaptive}) {
    declare::Pool pool;
    pool.slots_per_worker = 8;
    PoolScheduler scheduler(pool, {"zone"}, policy, 1);
    scheduler.SetEndpoints(
        {{{"0"}, {"zone"}, {}, {}}, {{"1"}, {"zone"}, {}, {}}}, kNow);
    scheduler.NoteBackoff({"0"}, kNow + seconds(2), kNow);
    // A shorter time in a later answer changes nothing.
    scheduler.NoteBackoff({"0"}, kNow + seconds(1), kNow);
    for (int i = 0; i < 50; ++i)
      CHECK(RunOne(scheduler, AttemptVerdict::kSucceeded,
                   kNow + milliseconds(1999)) == "1");
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i)
      used.insert(RunOne(scheduler, AttemptVerdict::kSucceeded,
                         kNow + milliseconds(2000)));
    CHECK(used.size() == 2);
  }
}

TEST_CASE("work waits for the first end of a Retry-After time") {
  PoolScheduler scheduler = MakeScheduler(2);
  scheduler.NoteBackoff({"0"}, kNow + seconds(3), kNow);
  scheduler.NoteBackoff({"1"}, kNow + seconds(2), kNow);
  Work work;
  work.service = {milliseconds(10), milliseconds(10)};
  work.deadline = base::TimePoint::max();
  scheduler.Offer(work, kNow);
  CHECK_FALSE(scheduler.NextDispatch(kNow).has_value());
  REQUIRE(scheduler.NextWakeup().has_value());
  CHECK(*scheduler.NextWakeup() == kNow + seconds(2));
  const auto dispatch = scheduler.NextDispatch(kNow + seconds(2));
  REQUIRE(dispatch.has_value());
  CHECK(dispatch->endpoint.value == "1");
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
