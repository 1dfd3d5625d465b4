#include <doctest/doctest.h>

#include <vector>

#include "LibForward/service_order.h"

namespace bilberry::forward {
namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kNow{milliseconds(1000)};

// Ten pieces per 100 ms at full efficiency.
PoolThroughput MakeThroughput() {
  PoolThroughput throughput;
  throughput.next_turn = kNow;
  throughput.round_time = milliseconds(100);
  throughput.pieces_per_round = 10;
  return throughput;
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

TEST_CASE("jobs are ordered by urgency, then by target") {
  QueuedJob urgent = MakeJob(3, milliseconds(5000));
  urgent.urgency = Urgency{0};
  const ServiceOrder order = OrderOfService(
      {MakeJob(1, milliseconds(4000)), MakeJob(2, milliseconds(3000)), urgent},
      MakeThroughput());
  CHECK(IdsOf(order.on_time) == std::vector<uint64_t>{3, 2, 1});
  CHECK(order.late.empty());
}

// Covers a burst of jobs with equal targets, of which only some can be served
// in time. Without the split, all of them would be late one after the other.
TEST_CASE("jobs that can't be on time behind the others go last") {
  std::vector<QueuedJob> jobs;
  for (uint64_t i = 1; i <= 10; ++i)
    jobs.push_back(MakeJob(i, milliseconds(600)));
  const ServiceOrder order = OrderOfService(jobs, MakeThroughput());
  CHECK(order.on_time.size() >= 3);
  CHECK(order.on_time.size() <= 6);
  CHECK(order.on_time.size() + order.late.size() == 10);
  CHECK(IdsOf(order.on_time).front() == 1);
}

TEST_CASE("of late jobs, those of runs under way go first") {
  std::vector<QueuedJob> jobs{MakeJob(1, milliseconds(10)),
                              MakeJob(2, milliseconds(20))};
  jobs[1].progress = RequestProgress::kUnderWay;
  const ServiceOrder order = OrderOfService(jobs, MakeThroughput());
  CHECK(order.on_time.empty());
  CHECK(IdsOf(order.late) == std::vector<uint64_t>{2, 1});
}

TEST_CASE("a pool whose calls are half full takes twice the time") {
  PoolThroughput throughput = MakeThroughput();
  const base::Duration full = throughput.TimeFor(100);
  // No faster than the calls allow.
  CHECK(full >= milliseconds(1000));
  throughput.fullness = 0.5;
  // Equal up to rounding.
  CHECK(throughput.TimeFor(100) - full * 2 <= base::Duration(1));
  CHECK(full * 2 - throughput.TimeFor(100) <= base::Duration(1));
}

TEST_CASE("late jobs wait longer the less capacity on-time jobs leave") {
  const ServiceOrder order =
      OrderOfService({MakeJob(1, milliseconds(10))}, MakeThroughput());
  PoolThroughput throughput = MakeThroughput();
  const base::Duration alone = ExpectedLateWait(order, throughput, kNow);
  throughput.left_for_late = 0.25;
  CHECK(ExpectedLateWait(order, throughput, kNow) == alone * 4);
  // The wait is bounded even if on-time jobs leave nothing.
  throughput.left_for_late = 0;
  CHECK(ExpectedLateWait(order, throughput, kNow) <= alone * 20);
}

TEST_CASE("retry slots take up half of the pool") {
  const PoolThroughput throughput = MakeThroughput();
  base::TimePoint until;
  const base::Duration first =
      ReserveRetrySlot(ServiceOrder{}, throughput, kNow, 10, until);
  const base::Duration second =
      ReserveRetrySlot(ServiceOrder{}, throughput, kNow, 10, until);
  CHECK(first == milliseconds(0));
  CHECK(second == throughput.TimeFor(10) * 2);
}

TEST_CASE("a job waits behind on-time jobs of equal or higher urgency") {
  QueuedJob lesser = MakeJob(2, milliseconds(4000));
  lesser.urgency = Urgency{2};
  const PoolThroughput throughput = MakeThroughput();
  const ServiceOrder order =
      OrderOfService({MakeJob(1, milliseconds(4000)), lesser}, throughput);
  QueuedJob job = MakeJob(3, milliseconds(4000));
  job.urgency = Urgency{0};
  CHECK(ExpectedWaitOnTime(job, order, throughput, kNow) == milliseconds(0));
  job.urgency = Urgency{1};
  CHECK(ExpectedWaitOnTime(job, order, throughput, kNow) ==
        throughput.TimeFor(10));
  job.urgency = Urgency{2};
  CHECK(ExpectedWaitOnTime(job, order, throughput, kNow) ==
        throughput.TimeFor(20));
}

TEST_CASE("a job doesn't wait for other pipelines' jobs that are due later") {
  const PoolThroughput throughput = MakeThroughput();
  QueuedJob other = MakeJob(1, milliseconds(4000));
  other.pipeline.value = "other";
  const ServiceOrder order = OrderOfService({other}, throughput);
  QueuedJob job = MakeJob(2, milliseconds(1500));
  CHECK(ExpectedWaitOnTime(job, order, throughput, kNow) == milliseconds(0));
  job.target = other.target + milliseconds(1);
  CHECK(ExpectedWaitOnTime(job, order, throughput, kNow) ==
        throughput.TimeFor(10));
  // Admitted jobs of the same pipeline count even if they are due later.
  job = MakeJob(2, milliseconds(1500));
  job.pipeline = other.pipeline;
  CHECK(ExpectedWaitOnTime(job, order, throughput, kNow) ==
        throughput.TimeFor(10));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::forward
