#include <doctest/doctest.h>

#include <set>
#include <string>

#include "LibPolicy/pool_scheduler.h"

namespace bilberry::policy {
namespace {

using base::TimePoint;

PoolScheduler MakeScheduler(uint32_t slots) {
  declare::Pool pool;
  pool.name = {"p"};
  pool.slots_per_worker = slots;
  PoolScheduler scheduler(pool, {"zone"}, PolicyKind::kBaseline, 1);
  scheduler.SetEndpoints(
      {{{"e1"}, {"zone"}, {}, {}}, {{"e2"}, {"zone"}, {}, {}}}, TimePoint());
  return scheduler;
}

Work MakeWork(uint64_t run) {
  Work work;
  work.run = base::RunId{run};
  return work;
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("the baseline gives work to each endpoint in its turn") {
  PoolScheduler scheduler = MakeScheduler(2);
  std::string order;
  for (uint64_t i = 1; i <= 4; ++i) {
    scheduler.Offer(MakeWork(i), TimePoint());
    order += scheduler.NextDispatch(TimePoint())->endpoint.value + " ";
  }
  CHECK(order == "e1 e2 e1 e2 ");
}

TEST_CASE("no endpoint gets more than its slots") {
  PoolScheduler scheduler = MakeScheduler(1);
  for (uint64_t i = 1; i <= 3; ++i)
    scheduler.Offer(MakeWork(i), TimePoint());
  REQUIRE(scheduler.NextDispatch(TimePoint()));
  REQUIRE(scheduler.NextDispatch(TimePoint()));
  CHECK_FALSE(scheduler.NextDispatch(TimePoint()));
  scheduler.Finish({{"e2"}, AttemptVerdict::kSucceeded, {}, {}}, TimePoint());
  const auto third = scheduler.NextDispatch(TimePoint());
  REQUIRE(third);
  CHECK(third->endpoint.value == "e2");
}

TEST_CASE("withdrawn work is not dispatched") {
  PoolScheduler scheduler = MakeScheduler(1);
  scheduler.Offer(MakeWork(1), TimePoint());
  CHECK(scheduler.Withdraw(base::RunId{1}));
  CHECK_FALSE(scheduler.Withdraw(base::RunId{1}));
  CHECK_FALSE(scheduler.NextDispatch(TimePoint()));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
