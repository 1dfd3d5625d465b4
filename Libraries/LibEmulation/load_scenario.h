#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibForward/forward_configuration.h"

// Load scenarios: callers, and the hosts and endpoints that serve them.
namespace bilberry::emulation {

// Pieces that requests of one kind need at one stage.
struct PieceDemand {
  std::string pool;
  std::vector<size_t> after;
  double share = 1;  // Fraction of the requests that need this stage.
  double mean_pieces = 1;
  uint64_t result_bytes = 0;
  double work_factor = 1;  // Multiple of the pool's time for a piece.
  double spread = 0;  // Spread of the number of pieces, as in DrawLogNormal().
};

// Callers of one pipeline.
struct CallerKind {
  std::string name;
  double per_second = 0;
  base::Duration target{};  // Time to the first event.
  base::Duration deadline{};
  // Longest pause between events at which an answer is on time.
  std::optional<std::chrono::milliseconds> max_pause = std::nullopt;
  bool may_repeat = false;  // Whether a request may be sent to two engines.
  forward::Urgency urgency{};
  double worth = 1;
  double late_worth = 0;
  std::vector<PieceDemand> stages;
  // Mean number of prompt tokens that no other request shares.
  double own_tokens = 0;
  // Prompt parts that requests share: the number of distinct parts, and the
  // tokens of each.
  uint32_t common_parts = 1;
  double common_tokens = 0;
  uint32_t sessions = 1;
  double session_tokens = 0;
  double events = 1;
};

// A temporary increase of the arrival rate.
struct Burst {
  std::string kind;  // Empty for all kinds.
  base::Duration begins{};
  base::Duration lasts{};
  double factor = 1;
};

// A host that crashes without notice to its peers.
struct HostCrash {
  uint32_t host = 0;
  base::Duration at{};
};

// Endpoints of a pool refuse all requests in turn; at any time one in `one_in`
// refuses.
struct PoolRefusals {
  std::string pool;
  uint32_t one_in = 3;
  base::Duration lasts{};
  // Whether their answers carry a Retry-After.
  bool is_announced = true;
  base::Duration at{};  // Start of the first turn.
};

// One in `one_in` endpoints of a pool announces its departure in its answers
// from `at` on, but not in its entry in the store.
struct PoolDeparture {
  std::string pool;
  uint32_t one_in = 3;
  base::Duration at{};
};

// One in `one_in` endpoints of a pool names in its answers a limit of requests
// per second from all hosts together. If several limits apply to an endpoint at
// a time, the last one counts.
struct PoolLimit {
  std::string pool;
  uint32_t one_in = 1;
  double per_second = 1;
  base::Duration at{};
  base::Duration lasts = std::chrono::hours(1);
};

// One in `one_in` endpoints of a pool is cold for a while and says so in its
// entry. If `starts`, the endpoint doesn't exist before its cold period.
struct PoolColdPeriod {
  std::string pool;
  uint32_t one_in = 3;
  bool starts = false;
  base::Duration at{};
  base::Duration lasts = std::chrono::seconds(5);
};

// A host that stops processing for a while and then resumes.
struct HostFreeze {
  uint32_t host = 0;
  base::Duration at{};
  base::Duration lasts{};
};

// A network partition between a host and its peers.
struct HostPartition {
  uint32_t host = 0;
  base::Duration at{};
  base::Duration lasts{};
};

// A host that is partitioned from all endpoints, and from nothing else.
struct EndpointCut {
  uint32_t host = 0;
  base::Duration at{};
  base::Duration lasts{};
  // Whether new connections are refused at once, instead of hanging.
  bool refuses = false;
};

// Hosts of one size, assigned to the zones round-robin.
struct HostKind {
  uint32_t count = 0;
  double cores = 1;
  double link_mbps = 0;
};

// Endpoints that compute pieces, assigned to the zones round-robin.
struct PiecePool {
  std::string name;
  uint32_t endpoints = 0;
  forward::PieceLimits limits;
};

// Endpoints that are slow for short periods: another share of them, drawn by
// the seed, in each interval.
struct SlowPeriods {
  double share = 0;
  double factor = 1;  // By which work takes longer.
  base::Duration interval = std::chrono::hours(1);
};

// Model engines, which prefill prompts and stream events, assigned to the zones
// round-robin.
struct EnginePool {
  std::string name;
  uint32_t endpoints = 0;
  double prefill_tokens_per_ms = 1;
  base::Duration event_time{};  // For one event when no other request runs.
  // Additional time for each other running request.
  base::Duration event_time_per_request{};
  double cache_tokens = 0;  // Cache size for shared prompt parts.
  uint32_t slots = 64;      // Of one endpoint, as configured.
  // Relative speeds of the endpoints, assigned round-robin; empty if equal.
  std::vector<double> speeds;
  SlowPeriods slow_periods;
  // Whether a prefill holds up the events of the other streams, and requests
  // beyond the slots wait.
  bool holds_up_streams = false;
};

// How long refused callers back off.
enum class RetryTiming {
  kAsRequested,  // For Retry-After; the retry gets a new deadline.
  // For Retry-After, but at most a third of the time left until the deadline.
  kWithinDeadline,
};

// Requests that crash each endpoint that runs them. Each of them comes again
// and again, each time at another host.
struct DeadlyRequests {
  std::string kind;    // Kind of request; empty for none.
  uint32_t count = 0;  // Different requests.
  uint32_t repeats = 0;
  base::Duration interval{};  // Between the repeats of one request.
  base::Duration at{};
  // Whether they crash endpoints that run their pieces, instead of engines.
  bool crashes_pieces = false;
};

// Requests of which no two are alike but whose prompts share a part, before
// their own last part, that crashes each engine which begins to answer them.
// The requests of each of the kinds have a part of their own.
struct DeadlyParts {
  std::vector<std::string> kinds;
  double per_second = 0;  // Requests of each kind.
  base::Duration at{};
  // Whether the other shared parts of their prompts are the same in all.
  bool is_one_session = true;
};

// Endpoints that end for a reason of their own: one engine after the other.
struct EngineEnds {
  uint32_t count = 0;
  base::Duration at{};
  base::Duration interval{};  // 0: all at once.
};

struct LoadScenario {
  std::string name;
  uint32_t hosts = 1;
  // Sizes of the hosts; empty when each host has a core of its own.
  std::vector<HostKind> host_kinds;
  // Processing time of one message on a host with one core; 0 if messages take
  // no time.
  base::Duration message_time{};
  uint32_t zones = 1;
  base::Duration in_zone{};  // One-way delay.
  base::Duration between_zones{};
  base::Duration lasts{};
  std::vector<CallerKind> kinds;
  std::vector<PiecePool> piece_pools;
  EnginePool engines;
  std::vector<Burst> bursts;
  std::vector<HostCrash> crashes;
  std::vector<HostFreeze> freezes;
  std::vector<HostPartition> partitions;
  std::vector<EndpointCut> endpoint_cuts;
  std::vector<PoolRefusals> refusals;
  std::vector<PoolDeparture> departures;
  std::vector<PoolLimit> limits;
  std::vector<PoolColdPeriod> cold_periods;
  DeadlyRequests deadly;
  DeadlyParts deadly_parts;
  EngineEnds engine_ends;
  // How long an endpoint that has ended is away.
  base::Duration restart_time = std::chrono::seconds(3);
  // Requests per second that a cold endpoint can take. In any second it may get
  // `cold_factor` times as many plus `cold_allowance`.
  double cold_per_second = 0;
  // Whether the hosts' configuration has the rate of a cold endpoint.
  bool publishes_cold_rate = true;
  double cold_factor = 1.5;
  double cold_allowance = 5;
  // Retry budget over ten seconds: arrivals at engines beyond the first one of
  // each request may be this fraction of the requests plus `retry_allowance`.
  double retry_ratio = 0.2;
  uint32_t retry_allowance = 0;  // 0: the hosts keep their default.
  // This fraction of the callers goes to one host in five; 0: all hosts get the
  // same load.
  double share_at_busy_hosts = 0;
  double mean_batch_size = 1;  // Mean number of callers that arrive together.
  // How often a refused caller retries, and when.
  uint32_t max_retries = 1;
  RetryTiming retry_timing = RetryTiming::kAsRequested;
  // Callers leave if the stream has not begun after this multiple of their
  // target.
  double patience = 4;

  // Arrivals per second of callers of this kind at this time, bursts included.
  double RateOf(const CallerKind& kind, base::Duration at) const;
};

// The hosts' configuration for the scenario.
std::shared_ptr<const forward::ForwardConfiguration> ConfigurationOf(
    const LoadScenario& scenario);

// Quotations, summaries and chats of equipment hire firms; endpoints and
// callers scale with the number of hosts.
LoadScenario SteadyScenario(uint32_t hosts);

// A larger deployment of the same load: hosts in four zones, one in eight of
// them large; endpoints and callers scale with the number of hosts.
inline constexpr uint32_t kGrownScenarioHosts = 67;
LoadScenario GrownScenario(uint32_t hosts = kGrownScenarioHosts);

// A load whose most urgent kind has the shortest target, and whose second most
// urgent kind has the longest chain of stages. Endpoints and callers scale with
// the number of hosts; in fleets of more than 20 hosts one in twelve is large.
LoadScenario LanternsScenario(uint32_t hosts);

// Streams with a pause limit on engines of few slots, unequal speed and short
// slow periods, shared by so many hosts that each has few requests at any
// engine.
LoadScenario UnequalEnginesScenario(uint32_t hosts = 68);

// All named scenarios: "steady", "peak", "two-bursts" and "hosts-lost"; "grown"
// and "grown-bursts", which ignore `hosts`; "lanterns" and "lantern-bursts",
// the latter with three bursts of single kinds; and "unequal-engines", which
// ignores `hosts`.
std::vector<LoadScenario> AllScenarios(uint32_t hosts);

}  // namespace bilberry::emulation
