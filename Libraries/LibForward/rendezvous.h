#pragma once

#include <cstdint>
#include <string_view>

namespace bilberry::forward {

// The weight of a member for a key, equal on all hosts. The member with the
// highest weight is chosen (rendezvous hashing, Thaler and Ravishankar, 1998).
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

// Weighted rendezvous hashing: the member with the highest score is chosen, so
// that members are chosen in proportion to their capacity. `capacity` must be
// positive.
double WeightedRendezvous(std::string_view key,
                          std::string_view member,
                          double capacity);

}  // namespace bilberry::forward
