#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace bilberry::forward {

// What is expected if a run is placed at an endpoint.
struct PlacementCandidate {
  std::string_view endpoint;
  // From sending the request to its first event.
  base::Duration first_event{};
  base::Duration own_prefill{};     // Of this run, at the endpoint's pace.
  base::Duration shared_prefill{};  // Part of it for parts that may be shared.
  uint64_t cached_tokens = 0;
  uint32_t runs = 0;  // In flight there.
  // Whether the allowed pause of this run or of a stream there is exceeded.
  bool exceeds_pause = false;
};

struct PlacementCriteria {
  base::Duration until_sent{};
  base::Duration until_target{};
  std::string session;  // Ties are broken by its rendezvous hash.
};

// Chooses an endpoint where many hosts share engines of few slots, so that no
// host's own count of requests shows their load: one that meets the target and
// all allowed pauses, else one that meets the target, and among equals the one
// with the least expected time and delay of other runs. A pure function of its
// arguments.
class PlacementPolicy {
 public:
  // Returns the index of the chosen candidate. `candidates` must not be empty.
  static size_t Choose(const PlacementCriteria& criteria,
                       std::span<const PlacementCandidate> candidates);
};

}  // namespace bilberry::forward
