#pragma once

#include "LibOperator/console.h"
#include "LibOperator/exit_code.h"

namespace bilberry::operators {

// Runs bilberryctl with its complete command line.
ExitCode RunCommandLine(int argc, const char* const* argv, Console& console);

// Each function gets the command line with the command's name as argv[0], and
// may throw cxxopts::exceptions::exception on invalid flags.
ExitCode RunCheck(int argc, const char* const* argv, Console& console);
ExitCode RunApply(int argc, const char* const* argv, Console& console);
ExitCode RunStatus(int argc, const char* const* argv, Console& console);
ExitCode RunBookings(int argc, const char* const* argv, Console& console);
ExitCode RunReport(int argc, const char* const* argv, Console& console);
ExitCode RunPlacements(int argc, const char* const* argv, Console& console);
ExitCode RunExplain(int argc, const char* const* argv, Console& console);

}  // namespace bilberry::operators
