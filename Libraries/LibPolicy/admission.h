#pragma once

#include <span>
#include <variant>

#include "LibBase/time.h"
#include "LibPolicy/stage_times.h"

namespace bilberry::policy {

// What is to be expected of one stage of a run that comes now.
struct StageForecast {
  base::Duration wait{};
  StageEstimate service;
};

// The run can make it.
struct Admitted {};

// The run can't make it; asked again after this time it may.
struct DeadlineUnreachable {
  base::Duration retry_after{};
};

using AdmissionDecision = std::variant<Admitted, DeadlineUnreachable>;

// Compares what is left of the budget with the stages that remain.
AdmissionDecision DecideAdmission(std::span<const StageForecast> remaining,
                                  base::Duration budget);

}  // namespace bilberry::policy
