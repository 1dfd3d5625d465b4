#include <cxxopts.hpp>
#include <iostream>

#include "commands.h"
#include "session.h"

namespace bilberry::ctl {

ExitCode RunCheck(int argc, char** argv) {
  cxxopts::Options options("bilberryctl check",
                           "Checks a configuration; prints all its faults.");
  options.add_options()("file", "The configuration",
                        cxxopts::value<std::string>())("help", "Print this");
  options.parse_positional({"file"});
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    std::cout << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("file") == 0) {
    std::cerr << "bilberryctl check: --file is missing\n";
    return ExitCode::kUsage;
  }
  const std::string path = flags["file"].as<std::string>();
  if (!ReadSoundConfiguration(path))
    return ExitCode::kFaulty;
  std::cout << path << ": no faults\n";
  return ExitCode::kDone;
}

}  // namespace bilberry::ctl
