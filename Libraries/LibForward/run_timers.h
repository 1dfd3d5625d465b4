#pragma once

#include <map>
#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forwarded_run.h"

namespace bilberry::forward {

// Timers of runs: when to advance a waiting run, and when its deadline is over.
class RunTimers {
 public:
  void Add(base::CallerId caller, const ForwardedRun& run);
  void Remove(base::CallerId caller, const ForwardedRun& run);

  // Schedules the run to be advanced at `time`, unless it is scheduled earlier.
  void ScheduleRecheck(base::CallerId caller,
                       ForwardedRun& run,
                       base::TimePoint time);
  // Removes and returns the scheduled run that is due first; empty if none is
  // due.
  std::optional<base::CallerId> TakeDueRecheck(base::TimePoint now);
  // Removes and returns the run whose deadline passed first; empty if none has
  // passed.
  std::optional<base::CallerId> TakeDeadline(base::TimePoint now);
  // Sets the timer to the run's deadline, after its answer has begun in time.
  void ExtendToDeadline(base::CallerId caller, const ForwardedRun& run);

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  using Times = std::multimap<base::TimePoint, base::CallerId>;

  static std::optional<base::CallerId> TakeFirst(Times& times,
                                                 base::TimePoint now);
  static void Erase(Times& times, base::TimePoint time, base::CallerId caller);

  Times deadlines_;
  Times rechecks_;
};

}  // namespace bilberry::forward
