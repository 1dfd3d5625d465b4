#include "decision_bench.h"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace bilberry::bench {

namespace {

using policy::PoolScheduler;
using policy::Work;

constexpr uint32_t kSlots = 8;
constexpr std::chrono::milliseconds kService{50};
constexpr base::Duration kBetweenDecisions{100};
constexpr size_t kSlowPercent = 99;
constexpr size_t kPercent = 100;

std::string Numbered(std::string name, size_t number) {
  return name.append(std::to_string(number));
}

PoolScheduler MakeScheduler(const DecisionPlan& plan) {
  declare::Pool pool;
  pool.name = {"pool"};
  pool.slots_per_worker = kSlots;
  PoolScheduler scheduler(pool, {"zone"}, plan.policy, plan.seed);
  scheduler.Reconfigure(pool, {{50, 20, 5}});
  std::vector<policy::EndpointTarget> targets;
  for (size_t i = 0; i < plan.endpoints; ++i)
    targets.push_back({{Numbered("endpoint-", i)}, {"zone"}, {}, {}});
  scheduler.SetEndpoints(targets, {});
  return scheduler;
}

Work MakeWork(uint64_t number, const DecisionPlan& plan) {
  Work work;
  work.run = base::RunId{number};
  work.rank = declare::kRanks[number % declare::kRankCount];
  work.team = {Numbered("team-", number % plan.teams)};
  work.stage = {{"pipeline"}, {"stage"}};
  work.service = {kService, kService};
  work.deadline = base::TimePoint::max();
  return work;
}

}  // namespace

DecisionCost MeasureDecisions(const DecisionPlan& plan) {
  using Clock = std::chrono::steady_clock;
  PoolScheduler scheduler = MakeScheduler(plan);
  base::TimePoint now(std::chrono::seconds(1));
  uint64_t last_run = 0;
  std::deque<policy::Dispatch> in_flight;
  while (last_run < plan.queued)
    scheduler.Offer(MakeWork(++last_run, plan), now);
  std::vector<std::chrono::nanoseconds> costs;
  costs.reserve(plan.decisions);
  while (costs.size() < plan.decisions) {
    now += kBetweenDecisions;
    Work work = MakeWork(++last_run, plan);
    const auto begin = Clock::now();
    scheduler.Offer(std::move(work), now);
    auto dispatch = scheduler.NextDispatch(now);
    const auto end = Clock::now();
    costs.emplace_back(end - begin);
    if (dispatch)
      in_flight.push_back(std::move(*dispatch));
    // Keeps half of the slots in use.
    if (2 * in_flight.size() <= plan.endpoints * kSlots)
      continue;
    const policy::Dispatch& oldest = in_flight.front();
    scheduler.Finish({oldest.run,
                      oldest.endpoint,
                      policy::AttemptVerdict::kSucceeded,
                      kService,
                      {}},
                     now);
    in_flight.pop_front();
  }
  std::ranges::sort(costs);
  return {costs[costs.size() / 2],
          costs[costs.size() * kSlowPercent / kPercent]};
}

}  // namespace bilberry::bench
