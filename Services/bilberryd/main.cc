// The daemon of one entry host.

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "LibDeclare/host_settings.h"
#include "LibTransport/node_shell.h"
#include "LibTransport/program.h"

namespace {

constexpr int kExitSettings = bilberry::transport::kExitUsage;
constexpr int kExitListen = 3;
constexpr std::chrono::milliseconds kLongestWait{100};

uint64_t DrawNumber() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "bilberryd",
      "Serves the pipelines of one entry host.\n"
      "Exit codes: 0 graceful shutdown, 2 invalid flags or "
      "settings, 3 failed to listen.");
  options.add_options()("settings", "The host's settings file",
                        cxxopts::value<std::string>())(
      "policy", "present, or baseline to compare with",
      cxxopts::value<std::string>()->default_value("present"));
  return options;
}

int Serve(bilberry::node::NodeOptions options) {
  bilberry::transport::Reactor reactor;
  auto shell =
      bilberry::transport::NodeShell::Create(reactor, std::move(options));
  if (!shell) {
    std::cerr << "bilberryd: " << ToText(shell.error()) << "\n";
    return kExitListen;
  }
  bool is_stopping = false;
  while (!shell.value()->has_finished()) {
    reactor.RunOnce(kLongestWait);
    if (bilberry::transport::IsStopRequested() && !is_stopping) {
      is_stopping = true;
      shell.value()->RequestStop();
    }
  }
  return 0;
}

int Run(const cxxopts::ParseResult& flags) {
  if (flags.count("settings") == 0) {
    std::cerr << "bilberryd: --settings is missing\n";
    return kExitSettings;
  }
  const std::string path = flags["settings"].as<std::string>();
  std::ifstream file(path);
  if (!file) {
    std::cerr << "bilberryd: " << path << ": can't be read\n";
    return kExitSettings;
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto parsed = bilberry::declare::ParseHostSettings(text.str());
  for (const auto& fault : parsed.faults)
    std::cerr << "bilberryd: " << ToText(path, fault) << "\n";
  if (!parsed.faults.empty())
    return kExitSettings;
  const std::string policy = flags["policy"].as<std::string>();
  if (policy != "present" && policy != "baseline") {
    std::cerr << "bilberryd: --policy must be present or baseline\n";
    return kExitSettings;
  }
  bilberry::node::NodeOptions options;
  options.settings = std::move(parsed.settings);
  options.incarnation = bilberry::base::Incarnation{DrawNumber()};
  options.seed = DrawNumber();
  options.policy = policy == "present"
                       ? bilberry::policy::PolicyKind::kAdaptive
                       : bilberry::policy::PolicyKind::kBaseline;
  return Serve(std::move(options));
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
