#include "LibDeclare/builder_program.h"

namespace bilberry::declare {

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitInvalid = 3;

}  // namespace

ProgramOutcome RunBuilderProgram(
    const std::string& name,
    const ConfigurationBuilder& builder,
    const std::vector<std::string_view>& arguments) {
  const std::string usage =
      "usage: " + name +
      " [--help | --version]; prints the configuration that bilberryctl apply "
      "takes\n";
  if (arguments.size() == 1 && arguments.front() == "--help")
    return {0, usage, ""};
  if (arguments.size() == 1 && arguments.front() == "--version")
    return {0, name + " " BILBERRY_VERSION "\n", ""};
  if (!arguments.empty())
    return {kExitUsage, "", usage};
  BuiltConfiguration built = builder.Build();
  ProgramOutcome outcome;
  for (const Fault& fault : built.faults)
    outcome.errors += ToText(name, fault) + "\n";
  if (!built.faults.empty()) {
    outcome.exit_code = kExitInvalid;
    return outcome;
  }
  outcome.output = std::move(built.document);
  return outcome;
}

}  // namespace bilberry::declare
