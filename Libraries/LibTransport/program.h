#pragma once

#include <cxxopts.hpp>
#include <functional>

namespace bilberry::transport {

// What every program ends with on a bad flag.
inline constexpr int kExitUsage = 2;

// Runs a program: sets up its log, answers --help and --version, and turns a
// bad flag into one line and kExitUsage. Returns the exit code.
int RunProgram(int argc,
               char** argv,
               cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult&)>& run);

// True from the first SIGTERM or SIGINT on; a second one changes nothing.
bool IsStopRequested();

// True once after each SIGHUP or series of them: the settings are to be read
// again.
bool TakeReloadRequest();

}  // namespace bilberry::transport
