#include <cxxopts.hpp>

#include "LibOperator/commands.h"
#include "LibOperator/operator_client.h"

namespace bilberry::operators {

ExitCode RunCheck(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options("bilberryctl check",
                           "Checks a configuration; prints all its faults.");
  options.add_options()("file", "The configuration",
                        cxxopts::value<std::string>())("help", "Print this");
  options.parse_positional({"file"});
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    console.out << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("file") == 0)
    return console.ReportError(ExitCode::kUsage, "--file is missing");
  const std::string path = flags["file"].as<std::string>();
  const auto read = ReadValidConfiguration(path, console);
  if (const auto* code = std::get_if<ExitCode>(&read))
    return *code;
  console.out << path << ": no faults\n";
  return ExitCode::kDone;
}

}  // namespace bilberry::operators
