#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace bilberry::policy {

// An endpoint with room for one more request.
struct Candidate {
  size_t index = 0;  // Index into the pool's endpoints.
};

// Round-robin choice as in Cloud Foundry's Gorouter ("HTTP Routing", section
// "Round-Robin Load Balancing"), for the baseline policy.
class RoundRobin {
 public:
  // The first candidate at or after the current position; `endpoint_count` is
  // the size of the pool. Empty when there is no candidate.
  std::optional<size_t> Choose(std::span<const Candidate> candidates,
                               size_t endpoint_count);

 private:
  size_t next_index_ = 0;
};

}  // namespace bilberry::policy
