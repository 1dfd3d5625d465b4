#pragma once

#include <iostream>
#include <string>

#include "LibTransport/program.h"

namespace bilberry::load {

// Prints a one-line error that names the flag to correct, and returns the exit
// code.
inline int ReportError(const std::string& message) {
  std::cerr << "bilberryload: " << message << "\n";
  return transport::kExitUsage;
}

}  // namespace bilberry::load
