#include "LibPolicy/two_choices.h"

#include <algorithm>

#include "LibPolicy/prefix_affinity.h"

namespace bilberry::policy {

namespace {

// Random draws before a linear scan; enough unless nearly all endpoints are
// full.
constexpr size_t kMaxRandomDraws = 4;

}  // namespace

void TwoChoices::SetEndpoints(std::span<const PoolEndpoint> endpoints,
                              const base::ZoneName& own_zone) {
  own_zone_.clear();
  other_zones_.clear();
  for (size_t i = 0; i < endpoints.size(); ++i)
    (endpoints[i].target().zone == own_zone ? own_zone_ : other_zones_)
        .push_back(i);
}

std::optional<size_t> TwoChoices::Choose(
    std::span<const PoolEndpoint> endpoints,
    const PeerLoadView& peers,
    const Work& work,
    base::TimePoint now,
    base::Random& random) const {
  const Selection selection{endpoints, peers, work, now, random};
  for (const Indices* zone : {&own_zone_, &other_zones_}) {
    if (const auto chosen = ChooseIn(*zone, selection))
      return chosen;
  }
  if (work.avoided.empty())
    return std::nullopt;
  Work second = work;
  second.avoided.clear();
  return Choose(endpoints, peers, second, now, random);
}

bool TwoChoices::IsUsable(const Selection& selection, size_t index) {
  const PoolEndpoint& endpoint = selection.endpoints[index];
  const auto& avoided = selection.work.avoided;
  return endpoint.HasRoom(selection.peers, selection.now) &&
         std::ranges::find(avoided, endpoint.target().name) == avoided.end();
}

std::optional<size_t> TwoChoices::ChooseIn(const Indices& zone,
                                           const Selection& selection) {
  if (selection.work.affinity != 0) {
    const auto preferred = PrefixAffinity::Choose(
        selection.endpoints, zone, selection.work.affinity,
        [&](size_t index) { return IsUsable(selection, index); });
    if (preferred)
      return preferred;
  }
  const auto first = Draw(zone, selection, std::nullopt);
  if (!first)
    return std::nullopt;
  const auto second = Draw(zone, selection, first);
  return second ? LessLoaded(selection, *first, *second) : *first;
}

std::optional<size_t> TwoChoices::Draw(const Indices& zone,
                                       const Selection& selection,
                                       std::optional<size_t> other) {
  if (zone.empty())
    return std::nullopt;
  for (size_t i = 0; i < kMaxRandomDraws; ++i) {
    const size_t index = zone[selection.random.Below(zone.size())];
    if (index != other && IsUsable(selection, index))
      return index;
  }
  const size_t start = selection.random.Below(zone.size());
  for (size_t i = 0; i < zone.size(); ++i) {
    const size_t index = zone[(start + i) % zone.size()];
    if (index != other && IsUsable(selection, index))
      return index;
  }
  return std::nullopt;
}

size_t TwoChoices::LessLoaded(const Selection& selection, size_t a, size_t b) {
  const double cost_a =
      selection.endpoints[a].ExpectedSlowdown(selection.peers, selection.now);
  const double cost_b =
      selection.endpoints[b].ExpectedSlowdown(selection.peers, selection.now);
  return cost_b < cost_a ? b : a;
}

}  // namespace bilberry::policy
