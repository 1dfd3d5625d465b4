#pragma once

#include <map>
#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forwarded_run.h"

namespace bilberry::forward {

// When runs are to be looked at again, and when their time is over.
class RunTimers {
 public:
  void Add(base::CallerId caller, const ForwardedRun& run);
  void Remove(base::CallerId caller, const ForwardedRun& run);

  // Comes back to the run at this time, or at an earlier one that it has.
  void LookAgain(base::CallerId caller,
                 ForwardedRun& run,
                 base::TimePoint time);
  // The run that was to be looked at first; empty if that isn't due.
  std::optional<base::CallerId> TakeLook(base::TimePoint now);
  // The run whose time was over first.
  std::optional<base::CallerId> TakeDeadline(base::TimePoint now);
  // The run has begun its answer in time, and now has the time for its end.
  void GiveTimeForEnd(base::CallerId caller, const ForwardedRun& run);

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  using Times = std::multimap<base::TimePoint, base::CallerId>;

  static std::optional<base::CallerId> TakeFirst(Times& times,
                                                 base::TimePoint now);
  static void Forget(Times& times, base::TimePoint time, base::CallerId caller);

  Times deadlines_;
  Times looks_;
};

}  // namespace bilberry::forward
