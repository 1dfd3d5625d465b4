#include <doctest/doctest.h>

#include <cmath>

#include "LibReport/service_recorder.h"

namespace bilberry::report {
namespace {

using namespace std::chrono_literals;
using declare::Rank;

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint(since_start);
}

EndedRun RunOf(RunOutcome outcome) {
  return {{"booking"}, {"malga-nuova"},           Rank::kUrgent, outcome,
          20ms,        {{{"book"}, 0, 2ms, 10ms}}};
}

TEST_CASE("outcomes count as met, missed or neither") {
  struct Row {
    RunOutcome outcome;
    Counts counts;
    uint64_t latencies;
  };
  for (const Row& row :
       {Row{RunOutcome::kMet, {1, 0}, 1}, Row{RunOutcome::kLate, {0, 1}, 1},
        Row{RunOutcome::kRefused, {0, 1}, 0},
        Row{RunOutcome::kFailed, {0, 1}, 0},
        Row{RunOutcome::kDeadlineExpired, {0, 1}, 0},
        Row{RunOutcome::kAbandoned, {0, 0}, 0},
        Row{RunOutcome::kCallerFault, {0, 0}, 0}}) {
    CAPTURE(ToText(row.outcome));
    ServiceRecorder recorder;
    recorder.Record(RunOf(row.outcome), At(1s));
    ServiceReport report = recorder.Report(At(1s));
    CHECK(report.ranks[Rank::kUrgent].level.total == row.counts);
    CHECK(report.ranks[Rank::kUrgent].level.short_window == row.counts);
    CHECK(report.ranks[Rank::kUrgent].latency.count() == row.latencies);
    CHECK(report.pipelines[{Rank::kUrgent, "booking"}].level.total ==
          row.counts);
    CHECK(report.teams[{Rank::kUrgent, "malga-nuova"}].total == row.counts);
    CHECK(report.stages[{"booking", "book"}].level.total == row.counts);
    CHECK(report.outcomes[{Rank::kUrgent, "booking"}]
                         [static_cast<size_t>(row.outcome)] == 1);
  }
}

TEST_CASE("burn rate and budget follow from counts and target") {
  struct Row {
    Counts counts;
    double target;
    double burn;
    double left;
  };
  for (const Row& row :
       {Row{{0, 0}, 99, 0, 100}, Row{{99, 1}, 99, 1, 0},
        Row{{90, 10}, 99, 10, -900}, Row{{995, 5}, 99, 0.5, 50},
        Row{{100, 0}, 100, 0, 100}}) {
    CAPTURE(row.counts.missed);
    CHECK(BurnRate(row.counts, row.target) == doctest::Approx(row.burn));
    CHECK(BudgetLeftPercent(row.counts, row.target) ==
          doctest::Approx(row.left));
  }
  CHECK(std::isinf(BurnRate({99, 1}, 100)));
  CHECK(AttainmentPercent({3, 1}) == doctest::Approx(75));
  CHECK(AttainmentPercent({}) == doctest::Approx(100));
}

TEST_CASE(
    "a miss expires from the short window before the long one and the day's") {
  ServiceRecorder recorder;
  recorder.Record(RunOf(RunOutcome::kFailed), At(10h));
  struct Row {
    base::Duration after;
    uint64_t in_short;
    uint64_t in_long;
    uint64_t in_day;
  };
  for (const Row& row :
       {Row{0s, 1, 1, 1}, Row{4min, 1, 1, 1}, Row{6min, 0, 1, 1},
        Row{50min, 0, 1, 1}, Row{61min, 0, 0, 1}, Row{22h, 0, 0, 1},
        Row{25h, 0, 0, 0}}) {
    CAPTURE(row.after.count());
    const ServiceLevel level =
        recorder.Report(At(10h + row.after)).ranks.at(Rank::kUrgent).level;
    CHECK(level.short_window.missed == row.in_short);
    CHECK(level.long_window.missed == row.in_long);
    CHECK(level.budget_window.missed == row.in_day);
    CHECK(level.total.missed == 1);
  }
}

TEST_CASE("reused buckets are cleared") {
  RollingCounts counts(50s, 5);
  for (int second = 0; second < 1000; ++second)
    counts.Add({1, 0}, At(std::chrono::seconds(second)));
  CHECK(counts.Sum(At(999s)).met == 50);
  counts.Add({0, 1}, At(5000s));
  CHECK(counts.Sum(At(5000s)) == Counts{0, 1});
}

TEST_CASE("stage time of a run that missed is wasted, retries included") {
  ServiceRecorder recorder;
  recorder.Record(RunOf(RunOutcome::kMet), At(1s));
  EndedRun missed = RunOf(RunOutcome::kDeadlineExpired);
  missed.attempts.push_back({{"book"}, 0, 1ms, 30ms});
  recorder.Record(missed, At(2s));
  const StageLevel stage =
      recorder.Report(At(2s)).stages.at({"booking", "book"});
  CHECK(stage.attempts == 3);
  CHECK(stage.spent == 50ms);
  CHECK(stage.wasted == 40ms);
  CHECK(stage.waited == 5ms);
  CHECK(stage.level.total == Counts{1, 1});
  CHECK(stage.queue_wait.count() == 3);
}

TEST_CASE("names beyond the limit are counted as other") {
  ServiceRecorder recorder;
  const size_t count = kMaxTeamNames + 50;
  for (size_t i = 0; i < count; ++i) {
    EndedRun run = RunOf(RunOutcome::kMet);
    run.team = {std::to_string(i)};
    run.pipeline = {std::to_string(i)};
    recorder.Record(run, At(1s));
  }
  const ServiceReport report = recorder.Report(At(1s));
  CHECK(report.teams.size() == kMaxTeamNames + 1);
  CHECK(report.teams.at({Rank::kUrgent, kOtherName}).total.met == 50);
  CHECK(report.pipelines.size() == kMaxPipelineNames + 1);
  CHECK(report.stages.size() == kMaxStageNames + 1);
  CHECK(report.ranks.at(Rank::kUrgent).level.total.met == count);
}

TEST_CASE("merged reports have summed counts and the newest targets") {
  ServiceRecorder one;
  ServiceRecorder other;
  one.Record(RunOf(RunOutcome::kMet), At(1s));
  other.Record(RunOf(RunOutcome::kFailed), At(9h));
  other.NoteRefusedUnready();
  ServiceReport merged = one.Report(At(1s));
  merged.revision = 2;
  merged.targets = {99, 98, 97};
  ServiceReport second = other.Report(At(9h));
  second.revision = 1;
  second.targets = {1, 1, 1};
  merged.Merge(second);
  CHECK(merged.hosts == 2);
  CHECK(merged.refused_unready == 1);
  CHECK(merged.TargetOf(Rank::kUrgent) == doctest::Approx(99));
  CHECK(merged.ranks.at(Rank::kUrgent).level.short_window == Counts{1, 1});
  CHECK(merged.stages.at({"booking", "book"}).service.count() == 2);
  CHECK(merged.teams.at({Rank::kUrgent, "malga-nuova"}).total == Counts{1, 1});
}

TEST_CASE("a histogram is restored from its filled bins") {
  LatencyHistogram from;
  for (const base::Duration it :
       {base::Duration(1), base::Duration(5'000), base::Duration(900'000'000)})
    from.Record(it);
  LatencyHistogram into;
  for (const auto& bin : from.FilledBins())
    CHECK(into.AddBin(bin));
  CHECK(into.count() == 3);
  for (const double fraction : {0.1, 0.5, 1.0})
    CHECK(into.Quantile(fraction) == from.Quantile(fraction));
  CHECK_FALSE(into.AddBin({-2, 1}));
  CHECK_FALSE(into.AddBin({100'000, 1}));
  CHECK(into.count() == 3);
}

}  // namespace
}  // namespace bilberry::report
