#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibForward/forward_configuration.h"

namespace bilberry::forward {

// Finds the pipeline of a request and the team of a key in a configuration, in
// a time that doesn't grow with the number of pipelines and teams.
class RouteIndex {
 public:
  RouteIndex() = default;
  explicit RouteIndex(
      std::shared_ptr<const ForwardConfiguration> configuration);

  // Returns the pipeline of this host with the longest path prefix that matches
  // `path`; null if there is none. Of several with the same prefix, the first.
  const ForwardedPipeline* FindPipeline(std::string_view host,
                                        std::string_view path) const;
  // Null if no team has this key.
  const ForwardedTeam* FindTeamOfKey(std::string_view key) const;

 private:
  struct HostRoutes {
    std::unordered_map<std::string_view, const ForwardedPipeline*> by_prefix;
    std::vector<size_t> prefix_lengths;  // The different ones, longest first.
  };

  // Holds what the maps refer to.
  std::shared_ptr<const ForwardConfiguration> configuration_;
  std::unordered_map<std::string_view, HostRoutes> hosts_;
  std::unordered_map<std::string_view, const ForwardedTeam*> teams_;  // By key.
};

}  // namespace bilberry::forward
