#pragma once

namespace bilberry::ctl {

// What bilberryctl ends with; docs/OPERATORS.md has the list.
enum class ExitCode : int {
  kDone = 0,
  kUsage = 2,        // A flag is missing or wrong.
  kFaulty = 3,       // The file can't be read, or has faults.
  kConflict = 4,     // Another change came first; nothing was changed.
  kUnreachable = 5,  // No answer; `apply` says whether anything may change yet.
  kRefused = 6,      // The operator token is wrong.
};

}  // namespace bilberry::ctl
