#include "LibReport/ended_run.h"

namespace bilberry::report {

std::string_view ToText(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kMet:
      return "met";
    case RunOutcome::kLate:
      return "late";
    case RunOutcome::kRefused:
      return "refused";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kDeadlineExpired:
      return "lapsed";
    case RunOutcome::kAbandoned:
      return "abandoned";
    case RunOutcome::kCallerFault:
      return "caller_fault";
  }
  return "unknown";
}

Attainment AttainmentOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kMet:
      return Attainment::kMet;
    case RunOutcome::kLate:
    case RunOutcome::kRefused:
    case RunOutcome::kFailed:
    case RunOutcome::kDeadlineExpired:
      return Attainment::kMissed;
    case RunOutcome::kAbandoned:
    case RunOutcome::kCallerFault:
      return Attainment::kNotCounted;
  }
  return Attainment::kNotCounted;
}

}  // namespace bilberry::report
