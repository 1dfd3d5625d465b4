#include "LibForward/quiet_times.h"

namespace bilberry::forward {

bool QuietTimes::Note(const base::EndpointName& name, base::TimePoint until) {
  const auto [it, is_new] = ends_.try_emplace(name, until);
  if (is_new)
    return true;
  if (until <= it->second)
    return false;
  it->second = until;
  return true;
}

base::TimePoint QuietTimes::EndOf(const base::EndpointName& name) const {
  const auto it = ends_.find(name);
  return it == ends_.end() ? base::TimePoint::min() : it->second;
}

std::vector<base::EndpointName> QuietTimes::TakeEnded(base::TimePoint now) {
  std::vector<base::EndpointName> ended;
  for (auto it = ends_.begin(); it != ends_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    ended.push_back(it->first);
    it = ends_.erase(it);
  }
  return ended;
}

std::optional<base::TimePoint> QuietTimes::NextEnd() const {
  std::optional<base::TimePoint> next;
  for (const auto& [name, end] : ends_) {
    if (!next || end < *next)
      next = end;
  }
  return next;
}

}  // namespace bilberry::forward
