#include "LibDeclare/configuration.h"

#include <algorithm>

namespace bilberry::declare {

namespace {

template <typename T, typename N>
const T* FindByName(const std::vector<T>& all, const N& name) {
  const auto it = std::ranges::find(all, name, &T::name);
  return it == all.end() ? nullptr : &*it;
}

}  // namespace

std::string_view ToText(Rank rank) {
  switch (rank) {
    case Rank::kUrgent:
      return "urgent";
    case Rank::kOrdinary:
      return "ordinary";
    case Rank::kBackground:
      return "background";
  }
  return "unknown";
}

bool Pipeline::IsAtMostOnce() const {
  return std::ranges::any_of(stages, [](const Stage& stage) {
    return stage.repeatability == Repeatability::kAtMostOnce;
  });
}

const RankRule& Configuration::RuleOf(Rank rank) const {
  return ranks[static_cast<size_t>(rank)];
}

const Pool* Configuration::FindPool(const base::PoolName& name) const {
  return FindByName(pools, name);
}

const Pipeline* Configuration::FindPipeline(
    const base::PipelineName& name) const {
  return FindByName(pipelines, name);
}

const Team* Configuration::FindTeam(const base::TeamName& name) const {
  return FindByName(teams, name);
}

std::chrono::milliseconds Configuration::LongestDeadline() const {
  std::chrono::milliseconds longest{0};
  for (const Pipeline& pipeline : pipelines)
    longest = std::max(longest, pipeline.deadline);
  return longest;
}

}  // namespace bilberry::declare
