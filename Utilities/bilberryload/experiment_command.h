#pragma once

#include <cxxopts.hpp>

namespace bilberry::load {

void AddExperimentFlags(cxxopts::Options& options);

// Implements `experiment list`, `experiment NAME` against running processes,
// and `experiment NAME --compare`. Returns the exit code.
int RunExperiment(const cxxopts::ParseResult& flags);

}  // namespace bilberry::load
