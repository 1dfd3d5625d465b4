#pragma once

#include <variant>

#include "LibDeclare/configuration.h"
#include "LibNode/caller_answer.h"
#include "LibNode/event.h"
#include "LibPipeline/run_request.h"

namespace bilberry::node {

// The answer to bad input; nothing of it has run.
struct BadRequest {
  int status = 400;
  CallerError error;
};

// Checks a caller's request against the declared configuration.
std::variant<pipeline::RunRequest, BadRequest> CheckRequest(
    const CallerRequest& request,
    const declare::Configuration& configuration);

}  // namespace bilberry::node
