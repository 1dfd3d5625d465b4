#include "LibEmulation/emulated_retries.h"

#include <algorithm>
#include <chrono>

namespace bilberry::emulation {

namespace {

constexpr std::chrono::seconds kWindow{10};

void DropBefore(std::deque<base::TimePoint>& times, base::TimePoint time) {
  while (!times.empty() && times.front() <= time)
    times.pop_front();
}

}  // namespace

void EmulatedRetries::NoteRequest(const std::string& request_id,
                                  base::TimePoint now) {
  arrivals_[request_id] = 0;
  requests_.push_back(now);
  DropBefore(requests_, now - 2 * kWindow);
}

uint64_t EmulatedRetries::RequestsUntil(base::TimePoint end) const {
  const auto first = std::ranges::upper_bound(requests_, end - kWindow);
  const auto last = std::ranges::upper_bound(requests_, end);
  return static_cast<uint64_t>(std::max<std::ptrdiff_t>(last - first, 0));
}

// Takes the largest number of requests in this window, the previous window and
// the window half a window earlier.
double EmulatedRetries::Allowed(base::TimePoint now) const {
  const uint64_t most =
      std::max({RequestsUntil(now), RequestsUntil(now - kWindow / 2),
                RequestsUntil(now - kWindow)});
  return scenario_.retry_ratio * static_cast<double>(most) +
         scenario_.retry_allowance;
}

void EmulatedRetries::NoteArrival(const std::string& request_id,
                                  base::TimePoint now) {
  if (++arrivals_[request_id] == 1)
    return;
  retries_.push_back(now);
  DropBefore(retries_, now - kWindow);
  report_.max_retry_usage =
      std::max(report_.max_retry_usage,
               static_cast<double>(retries_.size()) / Allowed(now));
}

}  // namespace bilberry::emulation
