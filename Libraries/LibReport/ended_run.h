#pragma once

#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"

namespace bilberry::report {

enum class RunOutcome : uint8_t {
  kMet,              // The whole answer went out within the deadline.
  kLate,             // It went out after the deadline.
  kRefused,          // Turned away.
  kFailed,           // Broken off by a fault of the system or its endpoints.
  kDeadlineExpired,  // The deadline passed without an answer.
  kAbandoned,        // The caller left; neither met nor missed.
  kCallerFault,      // Bad input; neither met nor missed.
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

// One attempt of a stage: how long it waited to be sent, and took then.
struct StageTime {
  base::StageName stage;
  size_t position = 0;  // Of the stage in its pipeline.
  base::Duration queue_wait{0};
  base::Duration service{0};
};

// A run that has ended, refused ones included.
struct EndedRun {
  base::PipelineName pipeline;
  base::TeamName team;
  declare::Rank rank = declare::Rank::kOrdinary;
  RunOutcome outcome = RunOutcome::kMet;
  base::Duration latency{0};
  std::vector<StageTime> attempts;  // Of all stages, retries included.
};

}  // namespace bilberry::report
