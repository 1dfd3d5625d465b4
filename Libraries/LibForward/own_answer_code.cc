#include "LibForward/own_answer_code.h"

namespace bilberry::forward {

std::string_view ToText(OwnAnswerCode code) {
  switch (code) {
    case OwnAnswerCode::kBadRequest:
      return "bad_request";
    case OwnAnswerCode::kUnknownKey:
      return "unknown_key";
    case OwnAnswerCode::kUnknownPipeline:
      return "unknown_pipeline";
    case OwnAnswerCode::kNotReady:
      return "not_ready";
    case OwnAnswerCode::kStopping:
      return "stopping";
    case OwnAnswerCode::kNoEndpoint:
      return "no_endpoint";
    case OwnAnswerCode::kTooLate:
      return "too_late";
    case OwnAnswerCode::kRefusedByEndpoint:
      return "refused_by_endpoint";
    case OwnAnswerCode::kStageFailed:
      return "stage_failed";
    case OwnAnswerCode::kAttemptFailed:
      return "attempt_failed";
    case OwnAnswerCode::kTimeout:
      return "timeout";
  }
  return "unknown";
}

}  // namespace bilberry::forward
