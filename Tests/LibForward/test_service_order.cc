#include <doctest/doctest.h>

#include <vector>

#include "LibForward/service_order.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kNow{milliseconds(1000)};

// Ten pieces in 100 ms, if calls were without gaps.
PoolThroughput MakePace() {
  PoolThroughput pace;
  pace.next_turn = kNow;
  pace.round_time = milliseconds(100);
  pace.pieces_per_round = 10;
  return pace;
}

QueuedJob MakeJob(uint64_t id, milliseconds until_target) {
  QueuedJob job;
  job.id = JobId{id};
  job.urgency = Urgency{1};
  job.target = kNow + until_target;
  job.needed = milliseconds(100);
  job.pieces = 10;
  return job;
}

std::vector<uint64_t> IdsOf(const std::vector<QueuedJob>& jobs) {
  std::vector<uint64_t> ids;
  ids.reserve(jobs.size());
  for (const QueuedJob& job : jobs)
    ids.push_back(static_cast<uint64_t>(job.id));
  return ids;
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("the more urgent goes first, then the one whose target is nearer") {
  QueuedJob urgent = MakeJob(3, milliseconds(5000));
  urgent.urgency = Urgency{0};
  const ServiceOrder order = OrderOfService(
      {MakeJob(1, milliseconds(4000)), MakeJob(2, milliseconds(3000)), urgent},
      MakePace());
  CHECK(IdsOf(order.on_time) == std::vector<uint64_t>{3, 2, 1});
  CHECK(order.late.empty());
}

// Answers a burst: all have the same time left, and only some can be served in
// it. Without this they would all be late one after the other.
TEST_CASE("what can't be on time behind the others goes last") {
  std::vector<QueuedJob> jobs;
  for (uint64_t i = 1; i <= 10; ++i)
    jobs.push_back(MakeJob(i, milliseconds(600)));
  const ServiceOrder order = OrderOfService(jobs, MakePace());
  CHECK(order.on_time.size() >= 3);
  CHECK(order.on_time.size() <= 6);
  CHECK(order.on_time.size() + order.late.size() == 10);
  CHECK(IdsOf(order.on_time).front() == 1);
}

TEST_CASE("of late jobs, those go first that have begun") {
  std::vector<QueuedJob> jobs{MakeJob(1, milliseconds(10)),
                              MakeJob(2, milliseconds(20))};
  jobs[1].progress = RequestProgress::kUnderWay;
  const ServiceOrder order = OrderOfService(jobs, MakePace());
  CHECK(order.on_time.empty());
  CHECK(IdsOf(order.late) == std::vector<uint64_t>{2, 1});
}

TEST_CASE("a pool whose calls are half full takes twice the time") {
  PoolThroughput pace = MakePace();
  const base::Duration full = pace.TimeFor(100);
  // No faster than its calls allow.
  CHECK(full >= milliseconds(1000));
  pace.fullness = 0.5;
  // Up to what is rounded away.
  CHECK(pace.TimeFor(100) - full * 2 <= base::Duration(1));
  CHECK(full * 2 - pace.TimeFor(100) <= base::Duration(1));
}

TEST_CASE("late jobs wait longer the less those on time leave") {
  const ServiceOrder order =
      OrderOfService({MakeJob(1, milliseconds(10))}, MakePace());
  PoolThroughput pace = MakePace();
  const base::Duration alone = ExpectedLateWait(order, pace, kNow);
  pace.left_for_late = 0.25;
  CHECK(ExpectedLateWait(order, pace, kNow) == alone * 4);
  // However little is left, the wait has an end.
  pace.left_for_late = 0;
  CHECK(ExpectedLateWait(order, pace, kNow) <= alone * 20);
}

TEST_CASE("those who come back take turns of half of the pool") {
  const PoolThroughput pace = MakePace();
  base::TimePoint until;
  const base::Duration first =
      ReserveRetrySlot(ServiceOrder{}, pace, kNow, 10, until);
  const base::Duration second =
      ReserveRetrySlot(ServiceOrder{}, pace, kNow, 10, until);
  CHECK(first == milliseconds(0));
  CHECK(second == pace.TimeFor(10) * 2);
}

TEST_CASE("a job waits behind those on time of its urgency and above") {
  QueuedJob lesser = MakeJob(2, milliseconds(4000));
  lesser.urgency = Urgency{2};
  const PoolThroughput pace = MakePace();
  const ServiceOrder order =
      OrderOfService({MakeJob(1, milliseconds(4000)), lesser}, pace);
  QueuedJob job = MakeJob(3, milliseconds(4000));
  job.urgency = Urgency{0};
  CHECK(ExpectedWaitOnTime(job, order, pace, kNow) == milliseconds(0));
  job.urgency = Urgency{1};
  CHECK(ExpectedWaitOnTime(job, order, pace, kNow) == pace.TimeFor(10));
  job.urgency = Urgency{2};
  CHECK(ExpectedWaitOnTime(job, order, pace, kNow) == pace.TimeFor(20));
}

TEST_CASE("a job doesn't wait for another kind that is due behind it") {
  const PoolThroughput pace = MakePace();
  QueuedJob other = MakeJob(1, milliseconds(4000));
  other.pipeline.value = "other";
  const ServiceOrder order = OrderOfService({other}, pace);
  QueuedJob job = MakeJob(2, milliseconds(1500));
  CHECK(ExpectedWaitOnTime(job, order, pace, kNow) == milliseconds(0));
  job.target = other.target + milliseconds(1);
  CHECK(ExpectedWaitOnTime(job, order, pace, kNow) == pace.TimeFor(10));
  // Of its own kind, who came first is served first.
  job = MakeJob(2, milliseconds(1500));
  job.pipeline = other.pipeline;
  CHECK(ExpectedWaitOnTime(job, order, pace, kNow) == pace.TimeFor(10));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
