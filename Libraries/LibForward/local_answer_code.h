#pragma once

#include <string_view>

namespace bilberry::forward {

// Why a request is answered by this host itself.
enum class LocalAnswerCode {
  kBadRequest,
  kUnknownKey,
  kUnknownPipeline,
  kNotReady,           // No configuration yet.
  kStopping,           // This host stops.
  kNoEndpoint,         // The pool has none.
  kTooLate,            // It can't make its deadline.
  kRefusedByEndpoint,  // Endpoints refused it without running it.
  kStageFailed,
  kAttemptFailed,  // May have run.
  kTimeout,        // May have run.
};

std::string_view ToText(LocalAnswerCode code);

}  // namespace bilberry::forward
