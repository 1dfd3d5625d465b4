#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace bilberry::policy {

// What a choice is made from: an endpoint with room for one more request.
struct Candidate {
  size_t index = 0;  // Into the pool's endpoints.
};

// Each endpoint in its turn, as in Cloud Foundry's Gorouter ("HTTP Routing",
// section "Round-Robin Load Balancing"): the baseline to compare with.
class RoundRobin {
 public:
  // The first candidate at or after the turn; `endpoint_count` is that of the
  // pool. Empty when there is no candidate.
  std::optional<size_t> Choose(std::span<const Candidate> candidates,
                               size_t endpoint_count);

 private:
  size_t turn_ = 0;
};

}  // namespace bilberry::policy
