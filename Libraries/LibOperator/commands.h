#pragma once

#include "exit_code.h"

namespace bilberry::ctl {

// Each takes the command line with the command's name as argv[0], and may throw
// cxxopts::exceptions::exception on bad flags.
ExitCode RunCheck(int argc, char** argv);
ExitCode RunApply(int argc, char** argv);
ExitCode RunStatus(int argc, char** argv);

}  // namespace bilberry::ctl
