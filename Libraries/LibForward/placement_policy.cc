#include "LibForward/placement_policy.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

using std::chrono::milliseconds;

// Runs beside a prefill that are counted as delayed by it. More would keep a
// session at an engine that is far behind.
constexpr uint32_t kMaxRunsDelayed = 4;

enum class RankClass { kGood, kOnTime, kLate };

// Compared in this order; less is better.
using Rank = std::tuple<RankClass, milliseconds, uint64_t, uint64_t>;

RankClass ClassOf(const PlacementCriteria& criteria,
                  const PlacementCandidate& candidate) {
  if (criteria.until_sent + candidate.first_event > criteria.until_target)
    return RankClass::kLate;
  return candidate.exceeds_pause ? RankClass::kOnTime : RankClass::kGood;
}

// Prefilling shared parts again delays every run beside it, and takes up room
// in the endpoint's cache. Costs that differ by less than a millisecond count
// as equal, since estimates are no better than that.
milliseconds CostOf(RankClass rank_class, const PlacementCandidate& candidate) {
  base::Duration cost =
      candidate.first_event + candidate.shared_prefill / 2 +
      candidate.shared_prefill * std::min(candidate.runs, kMaxRunsDelayed);
  if (rank_class == RankClass::kLate)
    cost += candidate.own_prefill * candidate.runs;
  return std::chrono::round<milliseconds>(cost);
}

Rank RankOf(const PlacementCriteria& criteria,
            const PlacementCandidate& candidate) {
  const RankClass rank_class = ClassOf(criteria, candidate);
  return {rank_class, CostOf(rank_class, candidate), ~candidate.cached_tokens,
          ~RendezvousWeight(criteria.session, candidate.endpoint)};
}

}  // namespace

size_t PlacementPolicy::Choose(const PlacementCriteria& criteria,
                               std::span<const PlacementCandidate> candidates) {
  assert(!candidates.empty());
  size_t best = 0;
  Rank best_rank = RankOf(criteria, candidates[0]);
  for (size_t i = 1; i < candidates.size(); ++i) {
    const Rank rank = RankOf(criteria, candidates[i]);
    if (rank >= best_rank)
      continue;
    best = i;
    best_rank = rank;
  }
  return best;
}

}  // namespace bilberry::forward
