#pragma once

#include <string_view>

namespace bilberry::forward {

// Reason for an answer that this host itself gives instead of an endpoint.
enum class LocalAnswerCode {
  kBadRequest,
  kUnknownKey,
  kUnknownPipeline,
  kNotReady,           // This host has no configuration yet.
  kStopping,           // This host is shutting down.
  kNoEndpoint,         // The pool has no available endpoint.
  kCutOff,             // This host can't reach the pool's endpoints.
  kTooLate,            // The request can't meet its deadline.
  kRefusedByEndpoint,  // Endpoints refused the request without executing it.
  // Endpoints crashed while they ran the same request, or requests that share
  // a part of the prompt.
  kQuarantined,
  kStageFailed,
  kAttemptFailed,  // The request may have been executed.
  kTimeout,        // The request may have been executed.
};

std::string_view ToText(LocalAnswerCode code);

}  // namespace bilberry::forward
