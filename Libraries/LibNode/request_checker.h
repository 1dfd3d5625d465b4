#pragma once

#include <variant>

#include "LibDeclare/configuration.h"
#include "LibNode/caller_answer.h"
#include "LibNode/event.h"
#include "LibPipeline/run_request.h"

namespace bilberry::node {

// The answer to an invalid request; nothing of it has executed.
struct BadRequest {
  int status = 400;
  CallerError error;
};

// Validates a caller's request against the configuration.
std::variant<pipeline::RunRequest, BadRequest> CheckRequest(
    const CallerRequest& request,
    const declare::Configuration& configuration);

}  // namespace bilberry::node
