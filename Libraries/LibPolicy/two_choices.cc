#include "LibPolicy/two_choices.h"

#include <algorithm>

#include "LibPolicy/prefix_affinity.h"

namespace bilberry::policy {

namespace {

// Draws before all are looked at in turn: enough unless nearly all are full.
constexpr size_t kDraws = 4;

}  // namespace

void TwoChoices::SetEndpoints(std::span<const PoolEndpoint> slots,
                              const base::ZoneName& own_zone) {
  near_.clear();
  far_.clear();
  for (size_t i = 0; i < slots.size(); ++i)
    (slots[i].target().zone == own_zone ? near_ : far_).push_back(i);
}

std::optional<size_t> TwoChoices::Choose(std::span<const PoolEndpoint> slots,
                                         const PeerLoadView& peers,
                                         const Work& work,
                                         base::TimePoint now,
                                         base::Random& random) const {
  const Question question{slots, peers, work, now, random};
  for (const Indices* zone : {&near_, &far_}) {
    if (const auto chosen = ChooseIn(*zone, question))
      return chosen;
  }
  if (work.avoided.empty())
    return std::nullopt;
  Work second = work;
  second.avoided.clear();
  return Choose(slots, peers, second, now, random);
}

bool TwoChoices::IsUsable(const Question& question, size_t index) {
  const PoolEndpoint& slot = question.slots[index];
  const auto& avoided = question.work.avoided;
  return slot.HasRoom(question.peers, question.now) &&
         std::ranges::find(avoided, slot.target().name) == avoided.end();
}

std::optional<size_t> TwoChoices::ChooseIn(const Indices& zone,
                                           const Question& question) {
  if (question.work.affinity != 0) {
    const auto known = PrefixAffinity::Choose(
        question.slots, zone, question.work.affinity,
        [&](size_t index) { return IsUsable(question, index); });
    if (known)
      return known;
  }
  const auto first = Draw(zone, question, std::nullopt);
  if (!first)
    return std::nullopt;
  const auto second = Draw(zone, question, first);
  return second ? Better(question, *first, *second) : *first;
}

std::optional<size_t> TwoChoices::Draw(const Indices& zone,
                                       const Question& question,
                                       std::optional<size_t> other) {
  if (zone.empty())
    return std::nullopt;
  for (size_t i = 0; i < kDraws; ++i) {
    const size_t index = zone[question.random.Below(zone.size())];
    if (index != other && IsUsable(question, index))
      return index;
  }
  const size_t start = question.random.Below(zone.size());
  for (size_t i = 0; i < zone.size(); ++i) {
    const size_t index = zone[(start + i) % zone.size()];
    if (index != other && IsUsable(question, index))
      return index;
  }
  return std::nullopt;
}

size_t TwoChoices::Better(const Question& question, size_t a, size_t b) {
  const double cost_a =
      question.slots[a].ExpectedSlowdown(question.peers, question.now);
  const double cost_b =
      question.slots[b].ExpectedSlowdown(question.peers, question.now);
  return cost_b < cost_a ? b : a;
}

}  // namespace bilberry::policy
