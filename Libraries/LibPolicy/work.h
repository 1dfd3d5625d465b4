#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"
#include "LibPolicy/stage_times.h"

namespace bilberry::policy {

// Which decisions are in force: the plain ones to compare with, or ours.
enum class PolicyKind { kBaseline, kAdaptive };

// Whether any stage of a run has been sent yet.
enum class Progress { kNew, kUnderWay };

// One stage of one run, waiting for an endpoint of a pool.
struct Work {
  base::RunId run{};
  declare::Rank rank = declare::Rank::kOrdinary;
  base::TeamName team;
  uint32_t weight = 1;  // Of the team, as declared.
  StageId stage;
  StageEstimate service;
  base::Duration service_after{};  // Of the stages after this one.
  base::TimePoint offered;
  base::TimePoint deadline;  // Of the whole run.
  Progress progress = Progress::kNew;
  // Equal for requests that share a prompt prefix; 0 when there is none.
  uint64_t affinity = 0;
  // Endpoints that have failed this run already.
  std::vector<base::EndpointName> avoided;
};

// Whose work it would be, to ask how long it would wait.
struct WorkClass {
  declare::Rank rank = declare::Rank::kOrdinary;
  base::TeamName team;
  uint32_t weight = 1;
  Progress progress = Progress::kNew;
};

// Whether waiting work was taken in.
enum class OfferOutcome { kQueued, kQueueFull };

// A decision: send this run's stage to this endpoint now.
struct Dispatch {
  base::RunId run{};
  base::EndpointName endpoint;
};

// An endpoint that may be given work.
struct EndpointTarget {
  base::EndpointName name;
  base::ZoneName zone;
  base::SocketAddress address;
  base::Incarnation incarnation{};
};

enum class AttemptVerdict {
  kSucceeded,
  kRefusedNotRun,  // The endpoint says that it did not run it.
  kFailed,         // An error answer or a broken connection.
  kUnreachable,    // No connection could be made.
  kTimedOut,
  kCancelled,  // By us; says nothing about the endpoint.
};

// How one attempt ended, for the policy to learn from.
struct AttemptReport {
  base::RunId run{};
  base::EndpointName endpoint;
  AttemptVerdict verdict = AttemptVerdict::kSucceeded;
  base::Duration latency{};
  // Requests that the endpoint said it had, of all entry hosts.
  std::optional<uint32_t> reported_load;
};

}  // namespace bilberry::policy
