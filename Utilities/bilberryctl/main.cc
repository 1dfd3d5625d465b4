// The operators' command line.

#include <array>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <string_view>

#include "LibTransport/log_writer.h"
#include "commands.h"

namespace {

using bilberry::ctl::ExitCode;

struct Command {
  std::string_view name;
  std::string_view brief;
  ExitCode (*run)(int argc, char** argv);
};

constexpr std::array kCommands{
    Command{"check", "check a configuration", bilberry::ctl::RunCheck},
    Command{"apply", "put a configuration in force", bilberry::ctl::RunApply},
    Command{"status", "what entry hosts say of themselves",
            bilberry::ctl::RunStatus},
};

void PrintHelp(std::ostream& out) {
  out << "usage: bilberryctl COMMAND [flags]; COMMAND --help tells more\n";
  for (const Command& command : kCommands)
    out << "  " << command.name << ": " << command.brief << "\n";
  out << "exit codes: 0 done, 2 bad flags, 3 faulty file, 4 another change "
         "came first, 5 unreachable, 6 refused\n";
}

ExitCode Dispatch(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    PrintHelp(std::cout);
    return ExitCode::kDone;
  }
  if (name == "--version") {
    std::cout << "bilberryctl " BILBERRY_VERSION "\n";
    return ExitCode::kDone;
  }
  for (const Command& command : kCommands) {
    if (command.name == name)
      return command.run(argc - 1, argv + 1);
  }
  PrintHelp(std::cerr);
  return ExitCode::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  bilberry::transport::InitializeLog(argv[0]);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return static_cast<int>(Dispatch(argc, argv));
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "bilberryctl: " << exception.what() << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
}
