#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "LibPolicy/pool_scheduler.h"

namespace bilberry::policy {
namespace {

using base::TimePoint;

PoolScheduler MakeScheduler(uint32_t slots,
                            PolicyKind policy = PolicyKind::kBaseline) {
  declare::Pool pool;
  pool.name = {"p"};
  pool.slots_per_worker = slots;
  PoolScheduler scheduler(pool, {"zone"}, policy, 1);
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

TEST_CASE("the baseline distributes work round-robin") {
  PoolScheduler scheduler = MakeScheduler(2);
  std::string order;
  for (uint64_t i = 1; i <= 4; ++i) {
    scheduler.Offer(MakeWork(i), TimePoint());
    order += scheduler.NextDispatch(TimePoint())->endpoint.value + " ";
  }
  CHECK(order == "e1 e2 e1 e2 ");
}

TEST_CASE("no endpoint gets more requests than its slots") {
  PoolScheduler scheduler = MakeScheduler(1);
  for (uint64_t i = 1; i <= 3; ++i)
    scheduler.Offer(MakeWork(i), TimePoint());
  REQUIRE(scheduler.NextDispatch(TimePoint()));
  REQUIRE(scheduler.NextDispatch(TimePoint()));
  CHECK_FALSE(scheduler.NextDispatch(TimePoint()));
  scheduler.Finish({base::RunId{2}, {"e2"}, AttemptVerdict::kSucceeded, {}, {}},
                   TimePoint());
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

TEST_CASE("work that can't meet its deadline is dropped at the queue's front") {
  PoolScheduler scheduler = MakeScheduler(1, PolicyKind::kAdaptive);
  Work lapsed = MakeWork(1);
  lapsed.service.slow = std::chrono::milliseconds(50);
  lapsed.deadline = TimePoint(std::chrono::milliseconds(49));
  scheduler.Offer(lapsed, TimePoint());
  Work sound = MakeWork(2);
  sound.service.slow = std::chrono::milliseconds(50);
  sound.deadline = TimePoint(std::chrono::milliseconds(50));
  scheduler.Offer(sound, TimePoint());
  const auto dispatch = scheduler.NextDispatch(TimePoint());
  REQUIRE(dispatch);
  CHECK(dispatch->run == base::RunId{2});
  CHECK(scheduler.TakeExpired() == std::vector<base::RunId>{base::RunId{1}});
  CHECK(scheduler.TakeExpired().empty());
}

TEST_CASE("a team's run under way is served before its new runs") {
  PoolScheduler scheduler = MakeScheduler(1, PolicyKind::kAdaptive);
  Work fresh = MakeWork(1);
  fresh.deadline = TimePoint::max();
  Work under_way = MakeWork(2);
  under_way.deadline = TimePoint::max();
  under_way.progress = Progress::kUnderWay;
  scheduler.Offer(fresh, TimePoint());
  scheduler.Offer(under_way, TimePoint());
  CHECK(scheduler.NextDispatch(TimePoint())->run == base::RunId{2});
  CHECK(scheduler.NextDispatch(TimePoint())->run == base::RunId{1});
}

TEST_CASE("a full queue rejects work until some is withdrawn") {
  for (const PolicyKind policy :
       {PolicyKind::kBaseline, PolicyKind::kAdaptive}) {
    CAPTURE(policy);
    PoolScheduler scheduler = MakeScheduler(1, policy);
    for (uint64_t i = 1; i <= kMaxQueued; ++i)
      REQUIRE(scheduler.Offer(MakeWork(i), TimePoint()) ==
              OfferOutcome::kQueued);
    CHECK(scheduler.Offer(MakeWork(kMaxQueued + 1), TimePoint()) ==
          OfferOutcome::kQueueFull);
    CHECK(scheduler.Withdraw(base::RunId{kMaxQueued / 2}));
    CHECK(scheduler.Offer(MakeWork(kMaxQueued + 1), TimePoint()) ==
          OfferOutcome::kQueued);
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
