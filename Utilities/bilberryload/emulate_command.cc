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
  add("hosts", "How many entry hosts, with endpoints in proportion",
      cxxopts::value<uint32_t>()->default_value("8"));
  add("alone", "Each host makes all calls for its own requests");
}

int RunEmulation(const cxxopts::ParseResult& flags) {
  if (flags.count("name") == 0)
    return ReportError("the command is: emulate NAME, or emulate list");
  const uint32_t hosts = flags["hosts"].as<uint32_t>();
  if (hosts == 0 || hosts > kMaxHosts)
    return ReportError("--hosts must be from 1 to 1000");
  const std::string name = flags["name"].as<std::string>();
  const auto days = emulation::AllScenarios(hosts);
  if (name == "list") {
    for (const emulation::LoadScenario& day : days)
      std::cout << day.name << "\n";
    return 0;
  }
  const auto day =
      std::ranges::find(days, name, &emulation::LoadScenario::name);
  if (day == days.end())
    return ReportError("there is no day \"" + name + "\"");
  emulation::EmulationOptions options;
  options.seed = flags["seed"].as<uint64_t>();
  options.shares_calls = flags.count("alone") == 0;
  std::cout << emulation::Print(emulation::Emulation(*day, options).Run());
  return 0;
}

}  // namespace bilberry::load
