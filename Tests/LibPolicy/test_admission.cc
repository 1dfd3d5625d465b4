#include <doctest/doctest.h>

#include "LibPolicy/admission.h"

namespace bilberry::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StageForecast MakeForecast(int wait, int typical, int slow) {
  return {milliseconds(wait), {milliseconds(typical), milliseconds(slow)}};
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("a run is admitted when waits and stages fit its budget") {
  struct Row {
    std::vector<StageForecast> stages;
    milliseconds budget;
    milliseconds retry_after;  // 0: admitted.
  };
  const Row rows[] = {
      {{}, milliseconds(0), milliseconds(0)},
      {{MakeForecast(0, 50, 50)}, milliseconds(50), milliseconds(0)},
      // One millisecond short: the minimum Retry-After.
      {{MakeForecast(0, 50, 50)}, milliseconds(49), milliseconds(100)},
      {{MakeForecast(950, 50, 50)}, milliseconds(1000), milliseconds(0)},
      // The excess of the wait drains in 500 ms.
      {{MakeForecast(1450, 50, 50)}, milliseconds(1000), milliseconds(500)},
      // Stages add up; the margin covers only the stage with the largest
      // spread.
      {{MakeForecast(10, 50, 90), MakeForecast(10, 50, 60)},
       milliseconds(160),
       milliseconds(0)},
      {{MakeForecast(10, 50, 90), MakeForecast(10, 50, 60)},
       milliseconds(159),
       milliseconds(100)},
      {{MakeForecast(3'600'000, 50, 50)}, milliseconds(1000), seconds(30)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.budget.count());
    const auto decision = DecideAdmission(row.stages, row.budget);
    const auto* late = std::get_if<DeadlineUnreachable>(&decision);
    REQUIRE((late != nullptr) == (row.retry_after > milliseconds(0)));
    if (late != nullptr)
      CHECK(late->retry_after == row.retry_after);
  }
}

TEST_CASE("a stage's time is estimated from samples, which expire") {
  StageTimeEstimator times;
  const StageId stage{{"p"}, {"s"}};
  const base::TimePoint start(seconds(100));
  CHECK(times.EstimateOf(stage, milliseconds(7), start).slow ==
        milliseconds(7));
  for (int i = 1; i <= 64; ++i)
    times.Note(stage, milliseconds(i), EndpointLoad::kHeavy, milliseconds(7),
               start);
  const auto learned = times.EstimateOf(stage, milliseconds(7), start);
  CHECK(learned.typical == milliseconds(33));
  CHECK(learned.slow == milliseconds(58));
  const auto later =
      times.EstimateOf(stage, milliseconds(7), start + seconds(6));
  CHECK(later.typical == milliseconds(7));
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
