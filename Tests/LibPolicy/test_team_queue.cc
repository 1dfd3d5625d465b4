#include <doctest/doctest.h>

#include "LibPolicy/team_queue.h"

namespace bilberry::policy {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kFreshRuns = 10;
constexpr milliseconds kStageTime{100};

TEST_SUITE_BEGIN("under-way");

TEST_CASE(
    "the estimated wait of a run under way excludes its team's new runs") {
  TeamQueue queue;
  for (uint64_t i = 1; i <= kFreshRuns; ++i) {
    Work work;
    work.run = base::RunId{i};
    work.team.value = "team";
    work.service.typical = kStageTime;
    queue.Push(work);
  }
  WorkClass work_class;
  work_class.team.value = "team";
  CHECK(queue.BacklogAhead(work_class) == kStageTime * kFreshRuns);
  work_class.progress = Progress::kUnderWay;
  CHECK(queue.BacklogAhead(work_class) == base::Duration(0));
  // The queue serves the work in this order.
  Work under_way;
  under_way.run = base::RunId{kFreshRuns + 1};
  under_way.team.value = "team";
  under_way.progress = Progress::kUnderWay;
  queue.Push(under_way);
  CHECK(queue.Front()->run == under_way.run);
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
