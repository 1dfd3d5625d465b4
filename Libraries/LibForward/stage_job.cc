#include "LibForward/stage_job.h"

namespace bilberry::forward {

std::string_view ToText(JobFailureKind kind) {
  switch (kind) {
    case JobFailureKind::kTooLate:
      return "too_late";
    case JobFailureKind::kNoEndpoint:
      return "no_endpoint";
    case JobFailureKind::kInputGone:
      return "input_gone";
    case JobFailureKind::kFailed:
      return "failed";
    case JobFailureKind::kHostLost:
      return "host_lost";
  }
  return "failed";
}

std::string_view ToText(StageCallFailure failure) {
  switch (failure) {
    case StageCallFailure::kNotRun:
      return "not_run";
    case StageCallFailure::kUnreachable:
      return "unreachable";
    case StageCallFailure::kBroken:
      return "broken";
    case StageCallFailure::kMalformed:
      return "malformed";
  }
  return "broken";
}

}  // namespace bilberry::forward
