#include "LibPolicy/round_robin.h"

namespace bilberry::policy {

std::optional<size_t> RoundRobin::Choose(std::span<const Candidate> candidates,
                                         size_t endpoint_count) {
  if (candidates.empty())
    return std::nullopt;
  size_t chosen = candidates.front().index;
  for (const Candidate& candidate : candidates) {
    if (candidate.index >= next_index_) {
      chosen = candidate.index;
      break;
    }
  }
  next_index_ = (chosen + 1) % endpoint_count;
  return chosen;
}

}  // namespace bilberry::policy
