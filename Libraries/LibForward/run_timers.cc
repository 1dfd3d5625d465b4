#include "LibForward/run_timers.h"

#include <algorithm>

namespace bilberry::forward {

void RunTimers::Add(base::CallerId caller, const ForwardedRun& run) {
  deadlines_.emplace(run.begin_deadline, caller);
}

void RunTimers::Remove(base::CallerId caller, const ForwardedRun& run) {
  Erase(deadlines_, run.begin_deadline, caller);
  Erase(deadlines_, run.deadline, caller);
  if (run.recheck_at)
    Erase(rechecks_, *run.recheck_at, caller);
}

void RunTimers::ScheduleRecheck(base::CallerId caller,
                                ForwardedRun& run,
                                base::TimePoint time) {
  if (run.recheck_at && *run.recheck_at <= time)
    return;
  if (run.recheck_at)
    Erase(rechecks_, *run.recheck_at, caller);
  run.recheck_at = time;
  rechecks_.emplace(time, caller);
}

std::optional<base::CallerId> RunTimers::TakeDueRecheck(base::TimePoint now) {
  return TakeFirst(rechecks_, now);
}

std::optional<base::CallerId> RunTimers::TakeDeadline(base::TimePoint now) {
  return TakeFirst(deadlines_, now);
}

void RunTimers::ExtendToDeadline(base::CallerId caller,
                                 const ForwardedRun& run) {
  deadlines_.emplace(run.deadline, caller);
}

std::optional<base::CallerId> RunTimers::TakeFirst(Times& times,
                                                   base::TimePoint now) {
  if (times.empty() || times.begin()->first > now)
    return std::nullopt;
  const base::CallerId caller = times.begin()->second;
  times.erase(times.begin());
  return caller;
}

void RunTimers::Erase(Times& times,
                      base::TimePoint time,
                      base::CallerId caller) {
  const auto [begin, end] = times.equal_range(time);
  const auto it = std::find_if(
      begin, end, [caller](const auto& it) { return it.second == caller; });
  if (it != end)
    times.erase(it);
}

std::optional<base::TimePoint> RunTimers::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const Times* times : {&deadlines_, &rechecks_}) {
    if (!times->empty() && (!next || times->begin()->first < *next))
      next = times->begin()->first;
  }
  return next;
}

}  // namespace bilberry::forward
