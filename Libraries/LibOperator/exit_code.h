#pragma once

namespace bilberry::operators {

// What bilberryctl ends with; docs/OPERATORS.md has the list.
enum class ExitCode : int {
  kDone = 0,
  kUsage = 2,        // A flag is missing or wrong.
  kInvalidFile = 3,  // The file has faults.
  kConflict = 4,     // Another change came first; nothing was changed.
  kUnreachable = 5,  // No answer; `apply` says whether anything may change yet.
  kRefused = 6,      // The operator token is wrong.
  kUnreadable = 7,   // The file can't be read.
  kUnwritable = 8,   // The file can't be written.
  kMalformed = 9,    // An answer can't be understood.
};

}  // namespace bilberry::operators
