#include "emulate_command.h"

#include <algorithm>
#include <iostream>
#include <string>

#include "LibEmulation/emulation.h"
#include "report_error.h"

namespace bilberry::load {

namespace {

constexpr uint32_t kMaxHosts = 1000;

}  // namespace

void AddEmulationFlags(cxxopts::Options& options) {
  auto add = options.add_options("emulation");
  add("hosts", "Number of entry hosts; endpoints scale with it",
      cxxopts::value<uint32_t>()->default_value("8"));
  add("alone", "Each host makes stage calls only for its own requests");
}

int RunEmulation(const cxxopts::ParseResult& flags) {
  if (flags.count("name") == 0)
    return ReportError("usage: emulate NAME, or emulate list");
  const uint32_t hosts = flags["hosts"].as<uint32_t>();
  if (hosts == 0 || hosts > kMaxHosts)
    return ReportError("--hosts must be from 1 to 1000");
  const std::string name = flags["name"].as<std::string>();
  const auto scenarios = emulation::AllScenarios(hosts);
  if (name == "list") {
    for (const emulation::LoadScenario& scenario : scenarios)
      std::cout << scenario.name << "\n";
    return 0;
  }
  const auto scenario =
      std::ranges::find(scenarios, name, &emulation::LoadScenario::name);
  if (scenario == scenarios.end())
    return ReportError("there is no scenario \"" + name + "\"");
  emulation::EmulationOptions options;
  options.seed = flags["seed"].as<uint64_t>();
  options.shares_calls = flags.count("alone") == 0;
  std::cout << emulation::Print(emulation::Emulation(*scenario, options).Run());
  return 0;
}

}  // namespace bilberry::load
