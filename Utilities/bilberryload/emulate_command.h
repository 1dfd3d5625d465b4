#pragma once

#include <cxxopts.hpp>

namespace bilberry::load {

void AddEmulationFlags(cxxopts::Options& options);

// `emulate list` and `emulate NAME`: plays a day in virtual time and prints how
// its callers fared; gives the exit code.
int RunEmulation(const cxxopts::ParseResult& flags);

}  // namespace bilberry::load
