#include <array>
#include <cxxopts.hpp>
#include <ostream>
#include <string_view>

#include "LibOperator/commands.h"

namespace bilberry::operators {

namespace {

struct Command {
  std::string_view name;
  std::string_view brief;
  ExitCode (*run)(int argc, const char* const* argv, Console& console);
};

constexpr std::array kCommands{
    Command{"check", "check a configuration", RunCheck},
    Command{"apply", "put a configuration in force", RunApply},
    Command{"status", "status of entry hosts", RunStatus},
    Command{"bookings", "bookings whose outcome isn't recorded", RunBookings},
    Command{"report", "service levels, time and cost", RunReport},
    Command{"placements", "endpoints as placed", RunPlacements},
    Command{"explain", "log records of one request", RunExplain},
};

void PrintHelp(std::ostream& out) {
  out << "usage: bilberryctl COMMAND [flags]; COMMAND --help tells more\n";
  for (const Command& command : kCommands)
    out << "  " << command.name << ": " << command.brief << "\n";
  out << "exit codes: 0 done, 2 bad flags, 3 faulty file, 4 another change "
         "came first, 5 unreachable, 6 refused, 7 unreadable file, 8 "
         "unwritable file, 9 malformed answer\n";
}

}  // namespace

ExitCode RunCommandLine(int argc, const char* const* argv, Console& console) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    PrintHelp(console.out);
    return ExitCode::kDone;
  }
  if (name == "--version") {
    console.out << "bilberryctl " BILBERRY_VERSION "\n";
    return ExitCode::kDone;
  }
  for (const Command& command : kCommands) {
    if (command.name != name)
      continue;
    // cxxopts reports invalid flags by exceptions.
    try {
      return command.run(argc - 1, argv + 1, console);
    } catch (const cxxopts::exceptions::exception& exception) {
      return console.ReportError(ExitCode::kUsage, exception.what());
    }
  }
  PrintHelp(console.err);
  return ExitCode::kUsage;
}

}  // namespace bilberry::operators
