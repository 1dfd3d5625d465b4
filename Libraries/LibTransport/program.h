#pragma once

#include <cxxopts.hpp>
#include <functional>

namespace bilberry::transport {

// Exit code of every program for invalid flags.
inline constexpr int kExitUsage = 2;

// Has the memory of large blocks returned to the system when they are freed.
// By default the C library comes to keep blocks of up to 32 MB for itself once
// such a block was freed.
void ReturnFreedBlocks();

// Runs a program: sets up its log and signal handlers, answers --help and
// --version, and turns an invalid flag into an error message and kExitUsage.
// Returns the exit code.
int RunProgram(int argc,
               char** argv,
               cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult&)>& run);

// Whether SIGTERM or SIGINT has been received. A further signal has no effect.
bool IsStopRequested();

// Returns true once after one or more SIGHUPs, which request that the settings
// be read again.
bool TakeReloadRequest();

}  // namespace bilberry::transport
