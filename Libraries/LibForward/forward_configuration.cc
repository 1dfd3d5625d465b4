#include "LibForward/forward_configuration.h"

#include <algorithm>

namespace bilberry::forward {

const ForwardedPipeline* ForwardConfiguration::FindPipeline(
    std::string_view host,
    std::string_view path) const {
  const ForwardedPipeline* longest = nullptr;
  for (const ForwardedPipeline& it : pipelines) {
    if (it.host != host || !path.starts_with(it.path_prefix))
      continue;
    if (longest == nullptr ||
        it.path_prefix.size() > longest->path_prefix.size())
      longest = &it;
  }
  return longest;
}

const ForwardedPool* ForwardConfiguration::FindPool(
    const base::PoolName& name) const {
  const auto it = std::ranges::find(pools, name, &ForwardedPool::name);
  return it == pools.end() ? nullptr : &*it;
}

const ForwardedTeam* ForwardConfiguration::FindTeamOfKey(
    std::string_view key) const {
  const auto it = std::ranges::find_if(teams, [key](const ForwardedTeam& team) {
    return std::ranges::find(team.keys, key) != team.keys.end();
  });
  return it == teams.end() ? nullptr : &*it;
}

}  // namespace bilberry::forward
