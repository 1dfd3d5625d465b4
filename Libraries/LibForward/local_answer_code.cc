#include "LibForward/local_answer_code.h"

namespace bilberry::forward {

std::string_view ToText(LocalAnswerCode code) {
  switch (code) {
    case LocalAnswerCode::kBadRequest:
      return "bad_request";
    case LocalAnswerCode::kUnknownKey:
      return "unknown_key";
    case LocalAnswerCode::kUnknownPipeline:
      return "unknown_pipeline";
    case LocalAnswerCode::kNotReady:
      return "not_ready";
    case LocalAnswerCode::kStopping:
      return "stopping";
    case LocalAnswerCode::kNoEndpoint:
      return "no_endpoint";
    case LocalAnswerCode::kCutOff:
      return "cut_off";
    case LocalAnswerCode::kTooLate:
      return "too_late";
    case LocalAnswerCode::kRefusedByEndpoint:
      return "refused_by_endpoint";
    case LocalAnswerCode::kQuarantined:
      return "quarantined";
    case LocalAnswerCode::kStageFailed:
      return "stage_failed";
    case LocalAnswerCode::kAttemptFailed:
      return "attempt_failed";
    case LocalAnswerCode::kTimeout:
      return "timeout";
  }
  return "unknown";
}

}  // namespace bilberry::forward
