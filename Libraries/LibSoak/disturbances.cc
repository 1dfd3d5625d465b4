#include "LibSoak/disturbances.h"

#include <algorithm>
#include <cassert>

namespace bilberry::soak {

void Disturbances::End(const std::string& part, base::TimePoint now) {
  Part& it = parts_[part];
  assert(it.open > 0);
  --it.open;
  it.last_end = std::max(it.last_end, now);
}

bool Disturbances::WasUndisturbed(const std::string& part,
                                  base::TimePoint since) const {
  const auto it = parts_.find(part);
  return it == parts_.end() ||
         (it->second.open == 0 && it->second.last_end <= since);
}

bool Disturbances::WereAllUndisturbed(base::TimePoint since) const {
  return std::ranges::all_of(
      parts_, [&](const auto& it) { return WasUndisturbed(it.first, since); });
}

bool Disturbances::WereOthersUndisturbed(const std::string& part,
                                         base::TimePoint since) const {
  return std::ranges::all_of(parts_, [&](const auto& it) {
    return it.first == part || WasUndisturbed(it.first, since);
  });
}

}  // namespace bilberry::soak
