#pragma once

#include <cstdint>
#include <string_view>

namespace bilberry::forward {

// The weight of a member for a key, the same at every host. Whoever has the
// highest weight is chosen (rendezvous hashing, Thaler and Ravishankar, 1998).
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

// The same for members of unlike capacity: higher is better, and a member is
// chosen in proportion to its capacity, which must be positive.
double WeightedRendezvous(std::string_view key,
                          std::string_view member,
                          double capacity);

}  // namespace bilberry::forward
