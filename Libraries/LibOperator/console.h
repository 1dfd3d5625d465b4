#pragma once

#include <ostream>
#include <string>

#include "LibOperator/exit_code.h"

namespace bilberry::operators {

// Output streams of a command: results and errors.
struct Console {
  std::ostream& out;
  std::ostream& err;

  // Prints a one-line error that says what to correct, and returns `code`.
  ExitCode ReportError(ExitCode code, const std::string& reason) const;
};

}  // namespace bilberry::operators
