#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

// The declared configuration, which operators apply to the system.
namespace bilberry::declare {

// The three priority classes of work, most important first.
enum class Rank : uint8_t { kUrgent, kOrdinary, kBackground };
inline constexpr size_t kRankCount = 3;
inline constexpr Rank kRanks[] = {Rank::kUrgent, Rank::kOrdinary,
                                  Rank::kBackground};

std::string_view ToText(Rank rank);

// Service guarantees of a rank.
struct RankRule {
  // Minimum share of each pool's time for this rank while it has work, in
  // percent. The shares of all ranks sum to at most 100.
  uint32_t minimum_share_percent = 0;
  // Target share of runs that meet their deadline, in percent.
  double attainment_target_percent = 99.0;

  friend bool operator==(const RankRule&, const RankRule&) = default;
};

enum class PoolKind : uint8_t { kEngine, kService };

// Whether the endpoints of a pool check the fencing token of a request.
enum class FencingSupport : uint8_t { kIgnored, kChecked };

// A pool of interchangeable endpoints. The platform's host list holds the
// endpoints themselves.
struct Pool {
  base::PoolName name;
  PoolKind kind = PoolKind::kService;
  // Number of endpoints when none is down, over all availability zones.
  uint32_t workers = 1;
  // Requests that one endpoint processes at once; further ones wait in the
  // endpoint's own queue.
  uint32_t slots_per_worker = 1;
  bool reports_load = false;
  FencingSupport fencing = FencingSupport::kIgnored;

  friend bool operator==(const Pool&, const Pool&) = default;
};

enum class StageKind : uint8_t {
  kEncode,
  kRetrieve,
  kRerank,
  kGenerate,
  kCall
};

// Whether a stage may be retried when an earlier attempt may have run.
enum class Repeatability : uint8_t { kRepeatable, kAtMostOnce };

enum class Delivery : uint8_t { kWhole, kStreamed };

struct Stage {
  base::StageName name;
  StageKind kind = StageKind::kCall;
  base::PoolName pool;
  std::string path;  // Path of the endpoint's URL; begins with a slash.
  // Expected service time, used until measurements are available.
  std::chrono::milliseconds expected{50};
  Repeatability repeatability = Repeatability::kRepeatable;
  // Only the last stage of a pipeline may be streamed.
  Delivery delivery = Delivery::kWhole;

  friend bool operator==(const Stage&, const Stage&) = default;
};

// A type of request: its rank, its deadline and its stages in order.
struct Pipeline {
  base::PipelineName name;
  Rank rank = Rank::kOrdinary;
  std::chrono::milliseconds deadline{3000};
  std::vector<Stage> stages;

  bool IsAtMostOnce() const;

  friend bool operator==(const Pipeline&, const Pipeline&) = default;
};

struct Team {
  base::TeamName name;
  uint32_t weight = 1;

  friend bool operator==(const Team&, const Team&) = default;
};

struct Configuration {
  std::string deployment;
  std::vector<base::ZoneName> zones;
  RankRule ranks[kRankCount];
  std::vector<Pool> pools;
  std::vector<Pipeline> pipelines;
  std::vector<Team> teams;

  const RankRule& RuleOf(Rank rank) const;
  // Return null if nothing of that name is declared.
  const Pool* FindPool(const base::PoolName& name) const;
  const Pipeline* FindPipeline(const base::PipelineName& name) const;
  const Team* FindTeam(const base::TeamName& name) const;
  std::chrono::milliseconds LongestDeadline() const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace bilberry::declare
