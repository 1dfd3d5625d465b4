#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "LibBase/error.h"
#include "LibPipeline/executed.h"

namespace bilberry::node {

// Why a request was refused or failed; docs/CALLERS.md lists the codes.
struct CallerError {
  std::string code;  // Stable error code, such as "deadline_unreachable".
  base::Step step = base::Step::kAdmission;
  std::string peer;     // The endpoint concerned, or empty.
  std::string message;  // Names the field if the input is invalid.
  // Time after which a retry may succeed; empty when a retry cannot succeed.
  std::optional<std::chrono::milliseconds> retry_after;
};

// The answer to a caller; each request gets exactly one.
struct CallerAnswer {
  int status = 200;  // RFC 9110 section 15.
  std::string request_id;
  pipeline::Executed executed = pipeline::Executed::kNo;
  std::optional<CallerError> error;
  std::string body;  // Body of a successful answer.
};

}  // namespace bilberry::node
