#include "LibOperator/console.h"

namespace bilberry::operators {

ExitCode Console::ReportError(ExitCode code, const std::string& reason) const {
  err << "bilberryctl: " << reason << "\n";
  return code;
}

}  // namespace bilberry::operators
