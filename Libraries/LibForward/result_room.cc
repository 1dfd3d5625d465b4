#include "LibForward/result_room.h"

#include <algorithm>

namespace bilberry::forward {

void ResultRoom::Add(const std::string& handle,
                     uint64_t bytes,
                     base::TimePoint expires) {
  if (results_.emplace(handle, Held{bytes, expires}).second)
    held_ += bytes;
}

void ResultRoom::Remove(const std::string& handle) {
  const auto it = results_.find(handle);
  if (it == results_.end())
    return;
  held_ -= it->second.bytes;
  results_.erase(it);
}

uint64_t ResultRoom::SizeOf(const std::string& handle) const {
  const auto it = results_.find(handle);
  return it == results_.end() ? 0 : it->second.bytes;
}

void ResultRoom::DropExpired(base::TimePoint now) {
  std::erase_if(results_, [&](const auto& it) {
    if (it.second.expires > now)
      return false;
    held_ -= it.second.bytes;
    return true;
  });
}

base::TimePoint ResultRoom::NextExpiry() const {
  base::TimePoint next = base::TimePoint::max();
  for (const auto& [handle, held] : results_)
    next = std::min(next, held.expires);
  return next;
}

}  // namespace bilberry::forward
