#include <cxxopts.hpp>
#include <iostream>

#include "LibTransport/json_text.h"
#include "commands.h"
#include "session.h"

namespace bilberry::ctl {

ExitCode RunStatus(int argc, char** argv) {
  cxxopts::Options options("bilberryctl status",
                           "Prints what entry hosts say of themselves.");
  options.add_options()("hosts", "IP:PORT of each host's port for peers",
                        cxxopts::value<std::vector<std::string>>())(
      "token", "The operator token", cxxopts::value<std::string>())(
      "help", "Print this");
  const auto flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    std::cout << options.help();
    return ExitCode::kDone;
  }
  if (flags.count("hosts") == 0 || flags.count("token") == 0) {
    std::cerr << "bilberryctl status: --hosts and --token are needed\n";
    return ExitCode::kUsage;
  }
  auto session = Session::Create();
  if (!session)
    return ExitCode::kUnreachable;
  ExitCode code = ExitCode::kDone;
  for (const auto& text : flags["hosts"].as<std::vector<std::string>>()) {
    const auto address = AddressOf("hosts", text);
    if (!address)
      return ExitCode::kUsage;
    const auto result = session.value()->Call(*address, "status",
                                              flags["token"].as<std::string>());
    if (result) {
      std::cout << transport::PrintCompact(result.value()) << "\n";
      continue;
    }
    std::cerr << ToText(result.error()) << "\n";
    code = result.error().code == base::ErrorCode::kRefused
               ? ExitCode::kRefused
               : ExitCode::kUnreachable;
  }
  return code;
}

}  // namespace bilberry::ctl
