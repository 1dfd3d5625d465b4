#include "LibForward/seen_result_handles.h"

#include <algorithm>

namespace bilberry::forward {

bool SeenResultHandles::Add(std::span<const PieceOutcome> pieces,
                            base::TimePoint now,
                            base::Duration life) {
  while (!expiries_.empty() && expiries_.front().first <= now) {
    names_.erase(expiries_.front().second);
    expiries_.pop_front();
  }
  const bool is_copy = std::ranges::any_of(pieces, [this](const auto& piece) {
    const auto* name = std::get_if<std::string>(&piece);
    return name != nullptr && names_.contains(*name);
  });
  if (is_copy)
    return false;
  for (const PieceOutcome& piece : pieces) {
    const auto* name = std::get_if<std::string>(&piece);
    if (name != nullptr && names_.insert(*name).second)
      expiries_.emplace_back(now + life, *name);
  }
  return true;
}

}  // namespace bilberry::forward
