#pragma once

#include <cstdint>
#include <map>

#include "LibReport/ended_run.h"
#include "LibReport/service_report.h"

namespace bilberry::report {

// The most names of each kind that are counted by themselves; what comes
// beyond is counted as kOtherName.
inline constexpr size_t kMaxPipelineNames = 128;
inline constexpr size_t kMaxStageNames = 512;
inline constexpr size_t kMaxTeamNames = 6'000;

// Counts what one host serves. Pure: time is passed in. Its memory is bounded
// by the limits above.
class ServiceRecorder {
 public:
  // `now` never goes back.
  void Record(const EndedRun& run, base::TimePoint now);
  void NoteRefusedUnready() { ++refused_unready_; }

  // Of this host alone; without targets and revision, which it doesn't know.
  ServiceReport Report(base::TimePoint now) const;

 private:
  // Counts of one group of runs, over all windows.
  class Series {
   public:
    void Add(const Counts& counts, base::TimePoint now);
    ServiceLevel Level(base::TimePoint now) const;

   private:
    static constexpr size_t kShortBuckets = 10;
    static constexpr size_t kLongBuckets = 12;
    static constexpr size_t kBudgetBuckets = 24;

    Counts total_;
    RollingCounts short_{kShortWindow, kShortBuckets};
    RollingCounts long_{kLongWindow, kLongBuckets};
    RollingCounts budget_{kBudgetWindow, kBudgetBuckets};
  };

  struct LatencySeries {
    Series series;
    LatencyHistogram latency;
  };

  struct StageSeries {
    Series series;
    StageLevel times;  // Its `level` stays empty.
  };

  void RecordLatency(LatencySeries& into,
                     const EndedRun& run,
                     base::TimePoint now);
  void RecordStages(const EndedRun& run, base::TimePoint now);

  uint64_t refused_unready_ = 0;
  std::map<declare::Rank, LatencySeries> ranks_;
  std::map<RankedName, OutcomeCounts> outcomes_;
  std::map<RankedName, LatencySeries> pipelines_;
  std::map<StageKey, StageSeries> stages_;
  std::map<RankedName, Series> teams_;
};

}  // namespace bilberry::report
