#pragma once

#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"

namespace bilberry::report {

enum class RunOutcome : uint8_t {
  kMet,              // The whole answer went out within the deadline.
  kLate,             // The whole answer went out after the deadline.
  kRefused,          // Refused without being run.
  kFailed,           // Failed through a fault of the system or its endpoints.
  kDeadlineExpired,  // The deadline passed without an answer.
  kAbandoned,  // The caller disconnected; counts neither as met nor as missed.
  kCallerFault,  // Invalid request; counts neither as met nor as missed.
};
inline constexpr size_t kRunOutcomeCount = 7;
inline constexpr RunOutcome kRunOutcomes[] = {RunOutcome::kMet,
                                              RunOutcome::kLate,
                                              RunOutcome::kRefused,
                                              RunOutcome::kFailed,
                                              RunOutcome::kDeadlineExpired,
                                              RunOutcome::kAbandoned,
                                              RunOutcome::kCallerFault};

std::string_view ToText(RunOutcome outcome);

// Whether the outcome counts against the rank's target.
enum class Attainment : uint8_t { kMet, kMissed, kNotCounted };

Attainment AttainmentOf(RunOutcome outcome);

// Queue wait and service time of one attempt of a stage.
struct StageTime {
  base::StageName stage;
  size_t position = 0;  // Index of the stage in its pipeline.
  base::Duration queue_wait{0};
  base::Duration service{0};
};

// A finished or refused run.
struct EndedRun {
  base::PipelineName pipeline;
  base::TeamName team;
  declare::Rank rank = declare::Rank::kOrdinary;
  RunOutcome outcome = RunOutcome::kMet;
  base::Duration latency{0};
  std::vector<StageTime> attempts;  // Of all stages, retries included.
};

}  // namespace bilberry::report
