#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"

namespace bilberry::pipeline {

// A validated request for one run of a pipeline.
struct RunRequest {
  base::PipelineName pipeline;
  base::TeamName team;
  declare::Rank rank = declare::Rank::kOrdinary;
  base::Duration budget{};  // Time from arrival to the deadline.
  std::optional<std::string> idempotency_key;
  std::string body;
  uint32_t team_weight = 1;
};

// Digest of team, pipeline and body, to recognize repeats of a request.
std::string DigestOf(const RunRequest& request);

}  // namespace bilberry::pipeline
