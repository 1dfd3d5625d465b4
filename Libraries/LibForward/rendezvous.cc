#include "LibForward/rendezvous.h"

#include <xxhash.h>

#include <cmath>

namespace bilberry::forward {

uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  const uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

double WeightedRendezvous(std::string_view key,
                          std::string_view member,
                          double capacity) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  const double fraction =
      (static_cast<double>(RendezvousWeight(key, member) >> 11U) + 0.5) *
      kScale;
  return -capacity / std::log(fraction);
}

}  // namespace bilberry::forward
