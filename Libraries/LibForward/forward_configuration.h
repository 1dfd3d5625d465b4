#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/ids.h"
#include "LibDeclare/configuration.h"

// Forwarded pipelines: a request runs through a graph of stages made of pieces
// and is then passed on unchanged to an endpoint of its final pool.
namespace bilberry::forward {

// Lower is more important.
enum class Urgency : uint32_t { kMost = 0 };

// Work that has to be done before the request itself can run.
struct ForwardedStage {
  base::PoolName pool;
  // Indices of the stages whose results this one reads.
  std::vector<size_t> after;
  uint64_t result_bytes = 0;  // Of one piece, about.
};

// A pool that takes a share of a pipeline's requests.
struct PoolShare {
  base::PoolName pool;
  uint32_t weight = 1;
};

struct ForwardedPipeline {
  base::PipelineName name;
  std::string host;         // As in the request's Host header.
  std::string path_prefix;  // Begins and ends with a slash.
  declare::Repeatability repeatability = declare::Repeatability::kAtMostOnce;
  declare::Delivery delivery = declare::Delivery::kWhole;
  // Whether a broken stream may go on at another endpoint.
  bool may_resume = false;
  bool allows_anonymous = false;
  // Whether requests name the shared parts of their prompts.
  bool has_prefixes = false;
  Urgency urgency = Urgency::kMost;
  std::chrono::milliseconds timeout{0};  // Of the whole answer; 0 is none.
  std::chrono::milliseconds target_latency{0};
  // How long callers wait for the first event of a stream; 0 for as long as
  // for its end.
  std::chrono::milliseconds first_event_limit{0};
  uint32_t max_attempts = 1;
  std::vector<PoolShare> final_pools;
  std::vector<ForwardedStage> stages;
};

// What one endpoint of a pool that makes pieces can do.
struct PieceLimits {
  uint32_t calls_at_once = 1;
  uint32_t pieces_per_call = 1;
  base::Duration call_time{};   // Whatever the call holds.
  base::Duration piece_time{};  // More for each piece.
  uint64_t room_bytes = 0;      // For results that have not been freed.
  base::Duration result_life{};
};

struct ForwardedPool {
  base::PoolName name;
  uint32_t slots = 0;                 // Of one endpoint; 0 if not told.
  std::optional<PieceLimits> pieces;  // For pools that serve stages.
  // How many requests a second one endpoint bears while it is cold; 0 if it is
  // never cold, or if that isn't told.
  double cold_per_second = 0;
  // For how long one is cold that starts during traffic.
  base::Duration cold_start{};
};

struct ForwardedTeam {
  base::TeamName name;
  std::vector<std::string> keys;
  std::optional<Urgency> urgency;  // Goes before the pipeline's.
};

// What callers may send, and for how long they may be idle.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct ForwardConfiguration {
  uint64_t revision = 0;
  std::vector<ForwardedPipeline> pipelines;
  std::vector<ForwardedPool> pools;
  std::vector<ForwardedTeam> teams;
  CallerLimits limits;

  // Of the pipelines of this host, the one with the longest prefix of `path`;
  // null when there is none.
  const ForwardedPipeline* FindPipeline(std::string_view host,
                                        std::string_view path) const;
  const ForwardedPool* FindPool(const base::PoolName& name) const;
  const ForwardedTeam* FindTeamOfKey(std::string_view key) const;
};

}  // namespace bilberry::forward
