#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "LibOperator/commands.h"
#include "LibOperator/request_history.h"

namespace bilberry::operators {

ExitCode RunExplain(int argc, const char* const* argv, Console& console) {
  cxxopts::Options options(
      "bilberryctl explain",
      "Collects the log records of one request from several hosts.");
  options.add_options()("id", "The request's id, as its caller sent it",
                        cxxopts::value<std::string>())(
      "file", "Logs as JSON lines, one file per host or collected",
      cxxopts::value<std::vector<std::string>>())("help", "Print this");
  options.parse_positional({"file"});
  options.positional_help("FILE...");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    console.out << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("id") == 0 || flags.count("file") == 0)
    return console.ReportError(ExitCode::kUsage, "--id and a FILE are needed");
  RequestHistory history(flags["id"].as<std::string>());
  for (const auto& path : flags["file"].as<std::vector<std::string>>()) {
    std::ifstream file(path);
    if (!file)
      return console.ReportError(ExitCode::kUnreadable,
                                 path + ": can't be read");
    history.Read(file, std::filesystem::path(path).filename().string());
  }
  if (history.is_empty())
    return console.ReportError(ExitCode::kUnreachable,
                               "no log record names this request");
  console.out << history.Print();
  return ExitCode::kDone;
}

}  // namespace bilberry::operators
