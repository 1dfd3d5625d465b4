#pragma once

#include <ostream>
#include <string>

#include "LibOperator/exit_code.h"

namespace bilberry::operators {

// Where a command prints: what was asked for, and complaints.
struct Console {
  std::ostream& out;
  std::ostream& err;

  // One line that says what to mend; gives back the code.
  ExitCode ReportError(ExitCode code, const std::string& reason) const;
};

}  // namespace bilberry::operators
