#include "LibReport/service_recorder.h"

#include <set>

namespace bilberry::report {

namespace {

// Returns the entry of `key`, or that of `other` when the map is full.
template <typename K, typename V>
V& Find(std::map<K, V>& all, const K& key, const K& other, size_t limit) {
  const auto it = all.find(key);
  if (it != all.end())
    return it->second;
  return all[all.size() < limit ? key : other];
}

Counts CountsOf(RunOutcome outcome) {
  switch (AttainmentOf(outcome)) {
    case Attainment::kMet:
      return {1, 0};
    case Attainment::kMissed:
      return {0, 1};
    case Attainment::kNotCounted:
      return {};
  }
  return {};
}

bool WasAnsweredWhole(RunOutcome outcome) {
  return outcome == RunOutcome::kMet || outcome == RunOutcome::kLate;
}

}  // namespace

void ServiceRecorder::Series::Add(const Counts& counts, base::TimePoint now) {
  total_ += counts;
  short_.Add(counts, now);
  long_.Add(counts, now);
  budget_.Add(counts, now);
}

ServiceLevel ServiceRecorder::Series::Level(base::TimePoint now) const {
  return {total_, short_.Sum(now), long_.Sum(now), budget_.Sum(now)};
}

void ServiceRecorder::Record(const EndedRun& run, base::TimePoint now) {
  const RankedName pipeline{run.rank, run.pipeline.value};
  const RankedName other{run.rank, kOtherName};
  OutcomeCounts& outcomes = Find(outcomes_, pipeline, other, kMaxPipelineNames);
  ++outcomes[static_cast<size_t>(run.outcome)];
  RecordLatency(ranks_[run.rank], run, now);
  RecordLatency(Find(pipelines_, pipeline, other, kMaxPipelineNames), run, now);
  Find(teams_, {run.rank, run.team.value}, other, kMaxTeamNames)
      .Add(CountsOf(run.outcome), now);
  RecordStages(run, now);
}

void ServiceRecorder::RecordLatency(LatencySeries& into,
                                    const EndedRun& run,
                                    base::TimePoint now) {
  into.series.Add(CountsOf(run.outcome), now);
  if (WasAnsweredWhole(run.outcome))
    into.latency.Record(run.latency);
}

void ServiceRecorder::RecordStages(const EndedRun& run, base::TimePoint now) {
  // A run that retries a stage counts as reaching it once.
  std::set<StageSeries*> reached;
  for (const StageTime& attempt : run.attempts) {
    StageSeries& stage =
        Find(stages_, {run.pipeline.value, attempt.stage.value},
             {kOtherName, kOtherName}, kMaxStageNames);
    reached.insert(&stage);
    StageLevel& times = stage.times;
    times.position = attempt.position;
    ++times.attempts;
    times.queue_wait.Record(attempt.queue_wait);
    times.service.Record(attempt.service);
    times.waited += attempt.queue_wait;
    times.spent += attempt.service;
    if (AttainmentOf(run.outcome) == Attainment::kMissed)
      times.wasted += attempt.service;
  }
  for (StageSeries* stage : reached)
    stage->series.Add(CountsOf(run.outcome), now);
}

ServiceReport ServiceRecorder::Report(base::TimePoint now) const {
  ServiceReport report;
  report.hosts = 1;
  report.refused_unready = refused_unready_;
  report.outcomes = outcomes_;
  for (const auto& [rank, it] : ranks_)
    report.ranks[rank] = {it.series.Level(now), it.latency};
  for (const auto& [key, it] : pipelines_)
    report.pipelines[key] = {it.series.Level(now), it.latency};
  for (const auto& [key, it] : stages_) {
    report.stages[key] = it.times;
    report.stages[key].level = it.series.Level(now);
  }
  for (const auto& [key, it] : teams_)
    report.teams[key] = it.Level(now);
  return report;
}

}  // namespace bilberry::report
