#include "LibForward/seen_result_handles.h"

#include <algorithm>

namespace bilberry::forward {

bool SeenResultHandles::Add(std::span<const PieceOutcome> pieces,
                            base::TimePoint now,
                            base::Duration life) {
  while (!expiries_.empty() && expiries_.front().first <= now) {
    handles_.erase(expiries_.front().second);
    expiries_.pop_front();
  }
  const bool is_duplicate =
      std::ranges::any_of(pieces, [this](const auto& piece) {
        const auto* handle = std::get_if<std::string>(&piece);
        return handle != nullptr && handles_.contains(*handle);
      });
  if (is_duplicate)
    return false;
  for (const PieceOutcome& piece : pieces) {
    const auto* handle = std::get_if<std::string>(&piece);
    if (handle != nullptr && handles_.insert(*handle).second)
      expiries_.emplace_back(now + life, *handle);
  }
  return true;
}

}  // namespace bilberry::forward
