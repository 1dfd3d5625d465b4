#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibDeclare/configuration_builder.h"

namespace bilberry::declare {

// What a program is to print and to end with.
struct ProgramOutcome {
  int exit_code = 0;
  std::string output;
  std::string errors;
};

// The body of a program that prints a built configuration: 0 and the document;
// 2 for a flag that it doesn't know; 3 and all faults for an unsound one.
// `arguments` are those after the program's name.
ProgramOutcome RunBuilderProgram(
    const std::string& name,
    const ConfigurationBuilder& builder,
    const std::vector<std::string_view>& arguments);

}  // namespace bilberry::declare
