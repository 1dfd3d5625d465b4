#include "LibForward/held_results.h"

#include <algorithm>

namespace bilberry::forward {

void HeldResults::Add(const std::string& handle,
                      uint64_t bytes,
                      base::TimePoint expires) {
  if (results_.emplace(handle, Held{bytes, expires}).second)
    held_bytes_ += bytes;
}

void HeldResults::Remove(const std::string& handle) {
  const auto it = results_.find(handle);
  if (it == results_.end())
    return;
  held_bytes_ -= it->second.bytes;
  results_.erase(it);
}

uint64_t HeldResults::SizeOf(const std::string& handle) const {
  const auto it = results_.find(handle);
  return it == results_.end() ? 0 : it->second.bytes;
}

void HeldResults::DropExpired(base::TimePoint now) {
  std::erase_if(results_, [&](const auto& it) {
    if (it.second.expires > now)
      return false;
    held_bytes_ -= it.second.bytes;
    return true;
  });
}

base::TimePoint HeldResults::NextExpiry() const {
  base::TimePoint next = base::TimePoint::max();
  for (const auto& [handle, held] : results_)
    next = std::min(next, held.expires);
  return next;
}

}  // namespace bilberry::forward
