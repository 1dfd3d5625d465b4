#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibDeclare/configuration.h"

// Configuration of forwarded pipelines: a request runs through a graph of
// stages, each made of pieces, and is then passed on unchanged to an endpoint
// of its final pool.
namespace bilberry::forward {

// Lower values are more urgent.
enum class Urgency : uint32_t { kMost = 0 };

// A stage of a pipeline, completed before the request itself is sent.
struct ForwardedStage {
  base::PoolName pool;
  // Indices of the stages whose results this one reads.
  std::vector<size_t> after;
  uint64_t result_bytes = 0;  // Approximate size of one piece's result.
};

// A final pool and its weight in the distribution of a pipeline's requests.
struct PoolShare {
  base::PoolName pool;
  uint32_t weight = 1;
};

struct ForwardedPipeline {
  base::PipelineName name;
  std::string host;         // Value of the request's Host header.
  std::string path_prefix;  // Begins and ends with a slash.
  declare::Repeatability repeatability = declare::Repeatability::kAtMostOnce;
  declare::Delivery delivery = declare::Delivery::kWhole;
  // Whether a broken stream may be resumed at another endpoint.
  bool may_resume = false;
  bool allows_anonymous = false;
  // Whether requests name the parts of their prompts that other requests share.
  bool has_prefixes = false;
  Urgency urgency = Urgency::kMost;
  // Until the end of the answer; 0 for none.
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target_latency{0};
  // Timeout for the first event of a stream; 0 if only the timeout of the whole
  // answer applies.
  std::chrono::milliseconds first_event_timeout{0};
  // Longest pause between events of a stream at which its answer is still on
  // time; empty if no pause makes it late.
  std::optional<std::chrono::milliseconds> max_pause;
  uint32_t max_attempts = 1;
  std::vector<PoolShare> final_pools;
  std::vector<ForwardedStage> stages;
};

// Capacity of one endpoint of a pool that produces pieces.
struct PieceLimits {
  uint32_t calls_at_once = 1;
  uint32_t pieces_per_call = 1;
  base::Duration call_time{};   // Fixed time of a call.
  base::Duration piece_time{};  // Additional time for each piece.
  uint64_t memory_bytes = 0;    // Memory for results that have not been freed.
  base::Duration result_life{};
};

struct ForwardedPool {
  base::PoolName name;
  uint32_t slots = 0;                 // Slots of one endpoint; 0 if unknown.
  std::optional<PieceLimits> pieces;  // Set for pools that serve stages.
  // Requests per second that one endpoint can handle while it is cold; 0 if
  // unknown, or if endpoints of the pool are never cold.
  double cold_per_second = 0;
  // How long an endpoint that starts during traffic is cold.
  base::Duration cold_start{};
  std::string health_path;  // Of health checks; empty if there are none.
};

struct ForwardedTeam {
  base::TeamName name;
  std::vector<std::string> keys;
  std::optional<Urgency> urgency;  // Overrides the pipeline's urgency.
};

// Size limits and timeouts of callers' connections.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct ForwardConfiguration {
  uint64_t revision = 0;
  std::string document;  // The operators' text, for peers that lack it.
  std::vector<ForwardedPipeline> pipelines;
  std::vector<ForwardedPool> pools;
  std::vector<ForwardedTeam> teams;
  CallerLimits limits;

  const ForwardedPool* FindPool(const base::PoolName& name) const;
};

}  // namespace bilberry::forward
