#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "LibForward/forward_configuration.h"

// A load and the system that it is played on: hosts, endpoints, callers.
namespace bilberry::emulation {

// Pieces that a kind of request asks for at one stage.
struct PieceDemand {
  std::string pool;
  std::vector<size_t> after;
  double share = 1;  // Of the requests that ask for any.
  double mean_pieces = 1;
  uint64_t result_bytes = 0;
  double work_factor = 1;  // Against the pool's time for a piece.
  double spread = 0;       // Of the pieces, as DrawLogNormal() takes it.
};

// Callers of one pipeline.
struct CallerKind {
  std::string name;
  double per_second = 0;
  base::Duration target{};  // Until the first event.
  base::Duration deadline{};
  forward::Urgency urgency{};
  double worth = 1;
  double late_worth = 0;
  std::vector<PieceDemand> stages;
  double own_tokens = 0;  // Mean of what no other request shares.
  // Parts of prompts that requests share: so many different ones, each of so
  // many tokens.
  uint32_t common_parts = 1;
  double common_tokens = 0;
  uint32_t sessions = 1;
  double session_tokens = 0;
  double events = 1;
};

// More callers for a while.
struct Burst {
  std::string kind;  // Empty for all.
  base::Duration begins{};
  base::Duration lasts{};
  double factor = 1;
};

// A host that dies without a word.
struct HostCrash {
  uint32_t host = 0;
  base::Duration at{};
};

// Endpoints of a pool turn away all that comes to them, by turns: one in so
// many at a time.
struct PoolRefusals {
  std::string pool;
  uint32_t one_in = 3;
  base::Duration lasts{};
  // Whether they say for how long they do.
  bool is_announced = true;
  base::Duration at{};  // When the first turn begins.
};

// One in so many endpoints of a pool says from then on in its answers that it
// leaves; its entry doesn't.
struct PoolDeparture {
  std::string pool;
  uint32_t one_in = 3;
  base::Duration at{};
};

// One in so many endpoints of a pool names in its answers how many requests a
// second it takes from all hosts together. Of several that hold for an endpoint
// at a time, the last one counts.
struct PoolLimit {
  std::string pool;
  uint32_t one_in = 1;
  double per_second = 1;
  base::Duration at{};
  base::Duration lasts = std::chrono::hours(1);
};

// One in so many endpoints of a pool is cold for a while, which its entry says;
// one that starts isn't there before.
struct PoolColdPeriod {
  std::string pool;
  uint32_t one_in = 3;
  bool starts = false;
  base::Duration at{};
  base::Duration lasts = std::chrono::seconds(5);
};

// A host does nothing for a while, and then goes on.
struct HostFreeze {
  uint32_t host = 0;
  base::Duration at{};
  base::Duration lasts{};
};

// For a while a host and its peers don't hear of each other.
struct HostPartition {
  uint32_t host = 0;
  base::Duration at{};
  base::Duration lasts{};
};

// Hosts of one size, dealt to the zones in turn.
struct HostKind {
  uint32_t count = 0;
  double cores = 1;
  double link_mbps = 0;
};

// Endpoints that make pieces, dealt to the zones in turn.
struct PiecePool {
  std::string name;
  uint32_t endpoints = 0;
  forward::PieceLimits limits;
};

// Endpoints that read prompts and stream events, dealt to the zones in turn.
struct EnginePool {
  std::string name;
  uint32_t endpoints = 0;
  double read_tokens_per_ms = 1;
  base::Duration event_time{};  // Of one event, with nothing else running.
  // How much longer for each other request that runs.
  base::Duration event_time_per_request{};
  double kept_tokens = 0;  // Of shared parts.
};

// How refused callers come back.
enum class RetryTiming {
  kAsRequested,     // When they are told to, with all of their time anew.
  kWithinDeadline,  // After a third of the time that they have left at most.
};

struct LoadScenario {
  std::string name;
  uint32_t hosts = 1;
  // Which hosts are how large; empty when all have a core of their own.
  std::vector<HostKind> host_kinds;
  // What a host with one core takes for one message; 0 for no time at all.
  base::Duration message_time{};
  uint32_t zones = 1;
  base::Duration in_zone{};  // One way.
  base::Duration between_zones{};
  base::Duration lasts{};
  std::vector<CallerKind> kinds;
  std::vector<PiecePool> piece_pools;
  EnginePool engines;
  std::vector<Burst> bursts;
  std::vector<HostCrash> crashes;
  std::vector<HostFreeze> freezes;
  std::vector<HostPartition> partitions;
  std::vector<PoolRefusals> refusals;
  std::vector<PoolDeparture> departures;
  std::vector<PoolLimit> limits;
  std::vector<PoolColdPeriod> cold_periods;
  // What a cold endpoint bears in a second, and what it may get: so many times
  // that, and some more.
  double cold_per_second = 0;
  bool publishes_cold_rate = true;  // Whether hosts are told what one bears.
  double cold_factor = 1.5;
  double cold_allowance = 5;
  // What may reach engines beyond first arrivals in ten seconds: this part of
  // the requests, and so many more.
  double retry_ratio = 0.2;
  uint32_t retry_allowance = 0;  // 0: the hosts aren't told any.
  // This part of the callers comes to one in five hosts; 0: all are alike.
  double share_at_busy_hosts = 0;
  double mean_batch_size = 1;  // How many callers come at once, in the mean.
  // How often a refused caller comes again, and how.
  uint32_t max_retries = 1;
  RetryTiming retry_timing = RetryTiming::kAsRequested;
  // Callers leave a stream that has not begun after this many times its target.
  double patience = 4;

  // Of callers of this kind at this time, with the bursts.
  double RateOf(const CallerKind& kind, base::Duration at) const;
};

// What the hosts are told of the sheet.
std::shared_ptr<const forward::ForwardConfiguration> ConfigurationOf(
    const LoadScenario& scenario);

// Quotations, summaries and chats of hire firms; endpoints and callers in
// proportion to the hosts.
LoadScenario SteadyScenario(uint32_t hosts);

// The same firms grown: hosts in four zones, of which one in eight is large;
// endpoints and callers in proportion.
inline constexpr uint32_t kGrownScenarioHosts = 67;
LoadScenario GrownScenario(uint32_t hosts = kGrownScenarioHosts);

// Firms whose shortest target belongs to the most urgent kind, and whose
// longest chain of stages to the one behind it; endpoints and callers in
// proportion to the hosts, of which one in twelve is large in fleets of more
// than 20.
LoadScenario LanternsScenario(uint32_t hosts);

// The same firms on several days, by name: "steady", "peak", "two-bursts",
// "hosts-lost"; and grown, whatever the number of hosts: "grown",
// "grown-bursts"; and those of LanternsScenario(): "lanterns", and three bursts
// of single kinds: "lantern-bursts".
std::vector<LoadScenario> AllScenarios(uint32_t hosts);

}  // namespace bilberry::emulation
