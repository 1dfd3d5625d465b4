#pragma once

#include <span>
#include <variant>

#include "LibBase/time.h"
#include "LibPolicy/stage_time_estimator.h"

namespace bilberry::policy {

// Expected queueing delay and service time of one stage of a new run.
struct StageForecast {
  base::Duration wait{};
  StageEstimate service;
};

// The run is expected to meet its deadline.
struct Admitted {};

// The run is expected to miss its deadline; the caller may retry after this
// time.
struct DeadlineUnreachable {
  base::Duration retry_after{};
};

using AdmissionDecision = std::variant<Admitted, DeadlineUnreachable>;

// Admission control: compares the remaining time budget with the expected time
// of the remaining stages.
AdmissionDecision DecideAdmission(std::span<const StageForecast> remaining,
                                  base::Duration budget);

}  // namespace bilberry::policy
