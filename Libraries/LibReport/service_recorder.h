#pragma once

#include <cstdint>
#include <map>

#include "LibReport/ended_run.h"
#include "LibReport/service_report.h"

namespace bilberry::report {

// Limits of the distinct names that are counted separately; further names are
// counted under kOtherName.
inline constexpr size_t kMaxPipelineNames = 128;
inline constexpr size_t kMaxStageNames = 512;
inline constexpr size_t kMaxTeamNames = 6'000;

// Collects the service levels of one host. Takes the time as an argument. The
// limits above bound its memory.
class ServiceRecorder {
 public:
  // `now` must not decrease between calls.
  void Record(const EndedRun& run, base::TimePoint now);
  void NoteRefusedUnready() { ++refused_unready_; }

  // The report of this host alone. Targets and revision are not set because the
  // recorder doesn't know them.
  ServiceReport Report(base::TimePoint now) const;

 private:
  // Counters of one group of runs over all windows.
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
    StageLevel times;  // Its `level` is not used.
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
