#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibDeclare/configuration_builder.h"

namespace bilberry::declare {

// The output and the exit code of a program.
struct ProgramOutcome {
  int exit_code = 0;
  std::string output;
  std::string errors;
};

// Runs a program that prints a built configuration. Exit codes: 0 with the
// document, 2 for an unknown flag, 3 with all faults of an invalid
// configuration. `arguments` excludes the program's name.
ProgramOutcome RunBuilderProgram(
    const std::string& name,
    const ConfigurationBuilder& builder,
    const std::vector<std::string_view>& arguments);

}  // namespace bilberry::declare
