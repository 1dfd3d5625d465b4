#pragma once

#include <iostream>
#include <string>

#include "LibTransport/program.h"

namespace bilberry::load {

// One line that says which flag to mend; gives back the exit code.
inline int ReportError(const std::string& message) {
  std::cerr << "bilberryload: " << message << "\n";
  return transport::kExitUsage;
}

}  // namespace bilberry::load
