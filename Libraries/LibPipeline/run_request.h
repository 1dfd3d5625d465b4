#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"

namespace bilberry::pipeline {

// A checked request for one run of a pipeline.
struct RunRequest {
  base::PipelineName pipeline;
  base::TeamName team;
  declare::Rank rank = declare::Rank::kOrdinary;
  base::Duration budget{};  // From arrival to the deadline.
  std::optional<std::string> idempotency_key;
  std::string body;
  uint32_t team_weight = 1;
};

// A digest of what is asked, to tell a repeat from another request.
std::string DigestOf(const RunRequest& request);

}  // namespace bilberry::pipeline
