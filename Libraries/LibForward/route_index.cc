#include "LibForward/route_index.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bilberry::forward {

RouteIndex::RouteIndex(
    std::shared_ptr<const ForwardConfiguration> configuration)
    : configuration_(std::move(configuration)) {
  for (const ForwardedPipeline& it : configuration_->pipelines) {
    HostRoutes& routes = hosts_[it.host];
    routes.by_prefix.try_emplace(it.path_prefix, &it);
    routes.prefix_lengths.push_back(it.path_prefix.size());
  }
  for (auto& [host, routes] : hosts_) {
    std::vector<size_t>& lengths = routes.prefix_lengths;
    std::ranges::sort(lengths, std::greater());
    lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
  }
  for (const ForwardedTeam& team : configuration_->teams) {
    for (const std::string& key : team.keys)
      teams_.try_emplace(key, &team);
  }
}

const ForwardedPipeline* RouteIndex::FindPipeline(std::string_view host,
                                                  std::string_view path) const {
  const auto routes = hosts_.find(host);
  if (routes == hosts_.end())
    return nullptr;
  for (const size_t length : routes->second.prefix_lengths) {
    if (length > path.size())
      continue;
    const auto it = routes->second.by_prefix.find(path.substr(0, length));
    if (it != routes->second.by_prefix.end())
      return it->second;
  }
  return nullptr;
}

const ForwardedTeam* RouteIndex::FindTeamOfKey(std::string_view key) const {
  const auto it = teams_.find(key);
  return it == teams_.end() ? nullptr : it->second;
}

}  // namespace bilberry::forward
