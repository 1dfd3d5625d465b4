#include "LibEmulation/load_scenario.h"

#include <algorithm>
#include <cmath>

namespace bilberry::emulation {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kScenarioHosts = 8;

uint32_t Scaled(uint32_t count, double scale) {
  return std::max(1U, static_cast<uint32_t>(std::lround(count * scale)));
}

PiecePool MakePiecePool(std::string name,
                        uint32_t endpoints,
                        uint32_t pieces_per_call,
                        base::Duration piece_time,
                        uint64_t memory_bytes) {
  PiecePool pool;
  pool.name = std::move(name);
  pool.endpoints = endpoints;
  pool.limits = {1,          pieces_per_call, milliseconds(150),
                 piece_time, memory_bytes,    milliseconds(4000)};
  return pool;
}

// The chain of stages of quotations and summaries: an order, the six parts that
// it names, and where each of them was.
std::vector<PieceDemand> MakeChain(size_t first) {
  return {{"billing", {}, 1, 1, 8'000, 0.3},
          {"returns", {first}, 1, 6, 60'000, 1},
          {"tracking", {first + 1}, 1, 16, 6'000, 1, 0.4}};
}

CallerKind MakeQuotes(double scale) {
  CallerKind kind;
  kind.name = "quote";
  kind.per_second = 9.5 * scale;
  kind.target = milliseconds(3000);
  kind.deadline = milliseconds(8000);
  kind.urgency = forward::Urgency{2};
  kind.worth = 2.3;
  kind.late_worth = 0.51;
  kind.stages = {{"billing", {}, 0.4, 1.5, 3'000'000, 1, 0.6}};
  std::ranges::copy(MakeChain(1), std::back_inserter(kind.stages));
  kind.own_tokens = 2890;
  kind.common_parts = 4;
  kind.common_tokens = 2520;
  kind.sessions = Scaled(111, scale);
  kind.session_tokens = 3780;
  kind.events = 17;
  return kind;
}

CallerKind MakeSummaries(double scale) {
  CallerKind kind;
  kind.name = "summary";
  kind.per_second = 11.5 * scale;
  kind.target = milliseconds(1500);
  kind.deadline = milliseconds(6000);
  kind.urgency = forward::Urgency{1};
  kind.worth = 2.5;
  kind.late_worth = 0.38;
  kind.stages = MakeChain(0);
  kind.own_tokens = 1800;
  kind.common_parts = 40;
  kind.common_tokens = 340;
  kind.sessions = Scaled(136, scale);
  kind.session_tokens = 230;
  kind.events = 8;
  return kind;
}

CallerKind MakeChats(double scale) {
  CallerKind kind;
  kind.name = "chat";
  kind.per_second = 8.2 * scale;
  kind.target = milliseconds(600);
  kind.deadline = milliseconds(15000);
  kind.urgency = forward::Urgency{0};
  kind.worth = 1.5;
  kind.late_worth = 0.087;
  kind.stages = {{"billing", {}, 0.7, 2.5, 3'000'000, 1, 0.6}};
  kind.own_tokens = 543;
  kind.common_parts = 8;
  kind.common_tokens = 103;
  kind.sessions = Scaled(64, scale);
  kind.session_tokens = 69;
  kind.events = 91;
  return kind;
}

// One stage with large results and a short target.
CallerKind MakeDrafts(double per_second) {
  CallerKind kind;
  kind.name = "draft";
  kind.per_second = per_second;
  kind.target = milliseconds(1000);
  kind.deadline = milliseconds(6000);
  kind.urgency = forward::Urgency{0};
  kind.worth = 4.8;
  kind.late_worth = 0.28;
  kind.stages = {{"billing", {}, 0.7, 2.5, 3'000'000, 1, 0.6}};
  kind.own_tokens = 2890;
  kind.common_parts = 4;
  kind.common_tokens = 2520;
  kind.sessions = static_cast<uint32_t>(per_second * 10);
  kind.session_tokens = 3780;
  kind.events = 13;
  return kind;
}

// The chain with a long target.
CallerKind MakeDigests(double per_second) {
  CallerKind kind;
  kind.name = "digest";
  kind.per_second = per_second;
  kind.target = milliseconds(3000);
  kind.deadline = milliseconds(6000);
  kind.urgency = forward::Urgency{2};
  kind.worth = 0.73;
  kind.late_worth = 0.16;
  kind.stages = MakeChain(0);
  kind.stages[1].mean_pieces = 8;
  kind.own_tokens = 1800;
  kind.common_parts = 80;
  kind.common_tokens = 340;
  kind.sessions = static_cast<uint32_t>(per_second * 7);
  kind.session_tokens = 230;
  kind.events = 6;
  return kind;
}

// Few requests, the longest stage graph of all kinds and half the target of the
// digests.
CallerKind MakeTurns(double per_second) {
  CallerKind kind;
  kind.name = "turn";
  kind.per_second = per_second;
  kind.target = milliseconds(1500);
  kind.deadline = milliseconds(15000);
  kind.urgency = forward::Urgency{1};
  kind.worth = 0.84;
  kind.late_worth = 0.13;
  kind.stages = {{"billing", {}, 0.4, 1.5, 3'000'000, 1, 0.6}};
  std::ranges::copy(MakeChain(1), std::back_inserter(kind.stages));
  kind.stages[2].mean_pieces = 8;
  kind.own_tokens = 543;
  kind.common_parts = 16;
  kind.common_tokens = 103;
  kind.sessions = static_cast<uint32_t>(per_second * 10);
  kind.session_tokens = 69;
  kind.events = 70;
  return kind;
}

// Endpoints that one attempt of a caller may be sent to.
constexpr uint32_t kMaxAttempts = 2;

forward::ForwardedPipeline PipelineOf(const CallerKind& kind,
                                      const LoadScenario& scenario) {
  forward::ForwardedPipeline pipeline;
  pipeline.name.value = kind.name;
  pipeline.host = kind.name;
  pipeline.path_prefix = "/";
  pipeline.delivery = declare::Delivery::kStreamed;
  if (kind.may_repeat) {
    pipeline.repeatability = declare::Repeatability::kRepeatable;
    pipeline.max_attempts = kMaxAttempts;
  }
  pipeline.urgency = kind.urgency;
  pipeline.timeout = std::chrono::duration_cast<milliseconds>(kind.deadline);
  pipeline.target_latency =
      std::chrono::duration_cast<milliseconds>(kind.target);
  pipeline.first_event_timeout = milliseconds(static_cast<int64_t>(
      static_cast<double>(pipeline.target_latency.count()) *
      scenario.patience));
  pipeline.max_pause = kind.max_pause;
  pipeline.has_prefixes = scenario.engines.holds_up_streams;
  pipeline.final_pools = {{{scenario.engines.name}, 1}};
  for (const PieceDemand& demand : kind.stages)
    pipeline.stages.push_back(
        {{demand.pool}, demand.after, demand.result_bytes});
  return pipeline;
}

}  // namespace

double LoadScenario::RateOf(const CallerKind& kind, base::Duration at) const {
  double rate = kind.per_second;
  for (const Burst& burst : bursts) {
    const bool is_now = at >= burst.begins && at < burst.begins + burst.lasts;
    if (is_now && (burst.kind.empty() || burst.kind == kind.name))
      rate *= burst.factor;
  }
  return rate;
}

std::shared_ptr<const forward::ForwardConfiguration> ConfigurationOf(
    const LoadScenario& scenario) {
  auto configuration = std::make_shared<forward::ForwardConfiguration>();
  configuration->revision = 1;
  for (const CallerKind& kind : scenario.kinds)
    configuration->pipelines.push_back(PipelineOf(kind, scenario));
  for (const PiecePool& pool : scenario.piece_pools) {
    forward::ForwardedPool& declared = configuration->pools.emplace_back();
    declared.name.value = pool.name;
    declared.slots = pool.limits.calls_at_once;
    declared.pieces = pool.limits;
  }
  forward::ForwardedPool& engines = configuration->pools.emplace_back();
  engines.name.value = scenario.engines.name;
  engines.slots = scenario.engines.slots;
  for (forward::ForwardedPool& pool : configuration->pools) {
    pool.cold_per_second =
        scenario.publishes_cold_rate ? scenario.cold_per_second : 0;
    pool.health_path = "/health";
  }
  return configuration;
}

LoadScenario SteadyScenario(uint32_t hosts) {
  const double scale = static_cast<double>(hosts) / kScenarioHosts;
  LoadScenario scenario;
  scenario.name = "steady";
  scenario.hosts = hosts;
  scenario.zones = 3;
  scenario.in_zone = microseconds(200);
  scenario.between_zones = microseconds(1400);
  scenario.lasts = seconds(30);
  scenario.mean_batch_size = 3;
  scenario.kinds = {MakeQuotes(scale), MakeSummaries(scale), MakeChats(scale)};
  scenario.piece_pools = {MakePiecePool("billing", Scaled(3, scale), 8,
                                        microseconds(16'000), 36'000'000),
                          MakePiecePool("returns", Scaled(5, scale), 14,
                                        microseconds(9'200), 2'400'000),
                          MakePiecePool("tracking", Scaled(5, scale), 36,
                                        microseconds(3'600), 640'000)};
  scenario.engines.name = "drafting";
  scenario.engines.endpoints = Scaled(9, scale);
  scenario.engines.prefill_tokens_per_ms = 42.6;
  scenario.engines.event_time = microseconds(16'650);
  scenario.engines.event_time_per_request = microseconds(90);
  scenario.engines.cache_tokens = 250'000;
  return scenario;
}

LoadScenario GrownScenario(uint32_t hosts) {
  const double scale = static_cast<double>(hosts) / kGrownScenarioHosts;
  const uint32_t large_hosts = Scaled(8, scale);
  LoadScenario scenario = SteadyScenario(kScenarioHosts);
  scenario.name = "grown";
  scenario.hosts = hosts;
  scenario.host_kinds = {{large_hosts, 0.5, 200},
                         {hosts - large_hosts, 0.12, 10}};
  scenario.message_time = microseconds(200);
  scenario.zones = 4;
  scenario.between_zones = microseconds(900);
  scenario.kinds[0].per_second = 106 * scale;
  scenario.kinds[0].sessions = Scaled(1240, scale);
  scenario.kinds[1].per_second = 128 * scale;
  scenario.kinds[1].sessions = Scaled(1510, scale);
  scenario.kinds[2].per_second = 63.5 * scale;
  scenario.kinds[2].sessions = Scaled(500, scale);
  scenario.piece_pools = {MakePiecePool("billing", Scaled(17, scale), 10,
                                        microseconds(13'000), 45'000'000),
                          MakePiecePool("returns", Scaled(15, scale), 44,
                                        microseconds(2'900), 7'800'000),
                          MakePiecePool("tracking", Scaled(16, scale), 96,
                                        microseconds(1'300), 1'600'000)};
  scenario.engines.endpoints = Scaled(90, scale);
  scenario.retry_timing = RetryTiming::kWithinDeadline;
  return scenario;
}

LoadScenario LanternsScenario(uint32_t hosts) {
  constexpr uint32_t kMostEqualHosts = 20;
  constexpr double kHostsOfSheet = 77;
  constexpr uint32_t kHostsToALargeOne = 12;
  // Fleets from this size on have more zones, and their load doesn't grow with
  // the number of hosts.
  constexpr uint32_t kLeastOfLargest = 200;
  constexpr double kScaleOfLargest = 1.5;
  LoadScenario scenario = SteadyScenario(hosts);
  scenario.name = "lanterns";
  scenario.between_zones = microseconds(500);
  scenario.retry_timing = RetryTiming::kWithinDeadline;
  if (hosts <= kMostEqualHosts) {
    const double scale = static_cast<double>(hosts) / kScenarioHosts;
    scenario.kinds = {MakeDrafts(9.5 * scale), MakeDigests(11.5 * scale),
                      MakeTurns(8.2 * scale)};
    return scenario;
  }
  const bool is_largest = hosts >= kLeastOfLargest;
  const double scale = is_largest ? kScaleOfLargest : hosts / kHostsOfSheet;
  if (is_largest)
    scenario.zones = 5;
  const uint32_t large = hosts / kHostsToALargeOne;
  scenario.host_kinds = {{large, 0.5, 200}, {hosts - large, 0.12, 10}};
  scenario.message_time = microseconds(200);
  scenario.kinds = {MakeDrafts(158 * scale), MakeDigests(187 * scale),
                    MakeTurns(60 * scale)};
  scenario.piece_pools = {MakePiecePool("billing", Scaled(17, scale), 14,
                                        microseconds(9'200), 77'000'000),
                          MakePiecePool("returns", Scaled(15, scale), 62,
                                        microseconds(2'100), 11'000'000),
                          MakePiecePool("tracking", Scaled(17, scale), 96,
                                        microseconds(1'300), 1'600'000)};
  scenario.engines.endpoints = Scaled(140, scale);
  return scenario;
}

LoadScenario UnequalEnginesScenario(uint32_t hosts) {
  LoadScenario scenario = GrownScenario(hosts);
  scenario.name = "unequal-engines";
  for (CallerKind& kind : scenario.kinds)
    kind.max_pause = milliseconds(300);
  scenario.engines.slots = 32;
  scenario.engines.speeds = {0.6, 1, 1.6};
  scenario.engines.slow_periods = {0.15, 2.5, milliseconds(600)};
  scenario.engines.holds_up_streams = true;
  return scenario;
}

std::vector<LoadScenario> AllScenarios(uint32_t hosts) {
  const LoadScenario steady = SteadyScenario(hosts);
  LoadScenario peak = steady;
  peak.name = "peak";
  peak.bursts = {{"", seconds(4), seconds(20), 1.5}};
  LoadScenario two_bursts = steady;
  two_bursts.name = "two-bursts";
  two_bursts.bursts = {{"quote", seconds(4), seconds(7), 2.4},
                       {"quote", seconds(6), seconds(5), 2.0},
                       {"summary", seconds(16), seconds(5), 2.2}};
  LoadScenario hosts_lost = steady;
  hosts_lost.name = "hosts-lost";
  for (uint32_t i = 0; i < hosts / 4; ++i)
    hosts_lost.crashes.push_back({i, seconds(10) + seconds(i)});
  const LoadScenario grown = GrownScenario();
  LoadScenario grown_bursts = grown;
  grown_bursts.name = "grown-bursts";
  grown_bursts.bursts = {{"quote", seconds(4), seconds(7), 2.9},
                         {"summary", seconds(13), seconds(7), 3.2},
                         {"", seconds(22), seconds(4), 1.8}};
  const LoadScenario lanterns = LanternsScenario(hosts);
  LoadScenario lantern_bursts = lanterns;
  lantern_bursts.name = "lantern-bursts";
  lantern_bursts.bursts = {{"digest", seconds(3), seconds(6), 2.1},
                           {"draft", seconds(6), seconds(7), 3},
                           {"digest", seconds(13), seconds(7), 3.2},
                           {"", seconds(24), seconds(4), 1.8}};
  return {steady,     peak,           two_bursts,
          hosts_lost, grown,          grown_bursts,
          lanterns,   lantern_bursts, UnequalEnginesScenario()};
}

}  // namespace bilberry::emulation
