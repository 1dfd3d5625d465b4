#include "LibPolicy/prefix_affinity.h"

#include <algorithm>
#include <cmath>

namespace bilberry::policy {

namespace {

// Bound of an endpoint's load, as a multiple of the zone's mean.
constexpr double kLoadBound = 1.25;

// The finalizer of SplitMix64 (Steele, Lea, Flood, 2014).
uint64_t Mix(uint64_t x) {
  x ^= x >> 30U;
  x *= 0xbf58476d1ce4e5b9U;
  x ^= x >> 27U;
  x *= 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

double BoundOf(std::span<const PoolEndpoint> endpoints,
               const std::vector<size_t>& zone) {
  double in_flight = 1;  // Counts the work being placed.
  for (const size_t index : zone)
    in_flight += endpoints[index].in_flight();
  return std::ceil(kLoadBound * in_flight / static_cast<double>(zone.size()));
}

}  // namespace

std::optional<size_t> PrefixAffinity::Choose(
    std::span<const PoolEndpoint> endpoints,
    const std::vector<size_t>& zone,
    uint64_t affinity,
    const std::function<bool(size_t)>& is_usable) {
  if (zone.empty())
    return std::nullopt;
  const double bound = BoundOf(endpoints, zone);
  std::optional<size_t> best;
  uint64_t best_weight = 0;
  for (const size_t index : zone) {
    const uint64_t weight = Mix(affinity ^ endpoints[index].name_hash());
    const bool is_better = !best || weight > best_weight;
    if (!is_better || endpoints[index].in_flight() + 1 > bound ||
        !is_usable(index))
      continue;
    best = index;
    best_weight = weight;
  }
  return best;
}

}  // namespace bilberry::policy
