#pragma once

namespace bilberry::operators {

// Exit codes of bilberryctl; docs/OPERATORS.md lists them.
enum class ExitCode : int {
  kDone = 0,
  kUsage = 2,        // A flag is missing or wrong.
  kInvalidFile = 3,  // The configuration file is invalid.
  kConflict = 4,     // Another change was applied first; nothing was changed.
  // No answer; `apply` prints whether the change may still be applied.
  kUnreachable = 5,
  kRefused = 6,     // The operator token is wrong.
  kUnreadable = 7,  // The file can't be read.
  kUnwritable = 8,  // The file can't be written.
  kMalformed = 9,   // An answer can't be parsed.
};

}  // namespace bilberry::operators
