#pragma once

#include <cxxopts.hpp>

namespace bilberry::load {

void AddEmulationFlags(cxxopts::Options& options);

// Implements `emulate list` and `emulate NAME`, which runs a load scenario in
// virtual time and prints the outcomes of its callers. Returns the exit code.
int RunEmulation(const cxxopts::ParseResult& flags);

}  // namespace bilberry::load
