#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"
#include "LibPolicy/stage_time_estimator.h"

namespace bilberry::policy {

// Scheduling policy: a plain one for comparison, or the adaptive one.
enum class PolicyKind { kBaseline, kAdaptive };

// Whether any stage of the run has been dispatched yet.
enum class Progress { kNew, kUnderWay };

// One stage of one run that waits for an endpoint of a pool.
struct Work {
  base::RunId run{};
  declare::Rank rank = declare::Rank::kOrdinary;
  base::TeamName team;
  uint32_t weight = 1;  // Declared weight of the team.
  StageId stage;
  StageEstimate service;
  // Expected time of the stages after this one.
  base::Duration service_after{};
  base::TimePoint offered;
  base::TimePoint deadline;  // Deadline of the whole run.
  Progress progress = Progress::kNew;
  // Hash of the prompt prefix, equal for requests that share the prefix; 0 when
  // there is none.
  uint64_t affinity = 0;
  // Endpoints that have already failed this stage of the run.
  std::vector<base::EndpointName> avoided;
};

// Rank, team and progress of hypothetical work, to estimate its queueing delay.
struct WorkClass {
  declare::Rank rank = declare::Rank::kOrdinary;
  base::TeamName team;
  uint32_t weight = 1;
  Progress progress = Progress::kNew;
};

// Whether the work was accepted into the queue.
enum class OfferOutcome { kQueued, kQueueFull };

// A scheduling decision: send the run's current stage to this endpoint now.
struct Dispatch {
  base::RunId run{};
  base::EndpointName endpoint;
};

// Identity and location of an endpoint of a pool.
struct EndpointTarget {
  base::EndpointName name;
  base::ZoneName zone;
  base::SocketAddress address;
  base::Incarnation incarnation{};
};

enum class AttemptVerdict {
  kSucceeded,
  kRefusedNotRun,  // The endpoint reports that it did not run the request.
  kFailed,         // An error status or a broken connection.
  kUnreachable,    // No connection could be made.
  kTimedOut,
  kCancelled,  // By this host; does not count for or against the endpoint.
};

// Outcome of one attempt, as feedback for the scheduler.
struct AttemptReport {
  base::RunId run{};
  base::EndpointName endpoint;
  AttemptVerdict verdict = AttemptVerdict::kSucceeded;
  base::Duration latency{};
  // The endpoint's reported requests from all entry hosts.
  std::optional<uint32_t> reported_load;
};

}  // namespace bilberry::policy
