// Runs soak tests: injects faults drawn from a seed into real entry hosts, and
// checks the invariants that callers and endpoints rely on.

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>

#include "LibSoak/soak_report.h"
#include "LibTransport/program.h"

namespace {

using bilberry::soak::DrawFaultPlan;
using bilberry::soak::FaultPlan;
using bilberry::soak::InjectedDefect;
using bilberry::soak::kInjectedDefects;
using bilberry::soak::SoakOptions;
using bilberry::soak::SoakReport;
using bilberry::soak::SoakRun;
using bilberry::transport::IsStopRequested;
using bilberry::transport::kExitUsage;

constexpr int kExitBroken = 1;
constexpr int kExitStart = 3;
constexpr int kExitInterrupted = 4;
constexpr size_t kMaxHosts = 60;

struct Seeds {
  uint64_t first = 1;
  uint64_t last = 1;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "bilberrysoak",
      "Injects faults drawn from a seed into real entry hosts under load.\n"
      "Exit codes: 0 all promises kept, 1 one was broken, 2 bad flags, 3 can't "
      "start, 4 interrupted.");
  options.add_options()("seed", "Seed of the fault plan",
                        cxxopts::value<uint64_t>()->default_value("1"))(
      "seeds", "A-B: one run after the other in place of --seed",
      cxxopts::value<std::string>())(
      "seconds", "Duration in which faults begin",
      cxxopts::value<uint64_t>()->default_value("30"))(
      "hosts", "Entry hosts, 1 to 60",
      cxxopts::value<size_t>()->default_value("3"))(
      "entry", "The program of an entry host",
      cxxopts::value<std::string>()->default_value(
          "build/platform/bilberryentry"))(
      "keep", "Folder of logs and findings, with a subfolder for each seed",
      cxxopts::value<std::string>()->default_value("Results/soak"))(
      "sabotage",
      "Break promises to verify their detection: doubling-links, deaf-hosts, "
      "killing-stops",
      cxxopts::value<std::string>()->default_value("none"))(
      "plan", "Print the plan and end");
  return options;
}

std::optional<Seeds> SeedsOf(const cxxopts::ParseResult& flags) {
  if (flags.count("seeds") == 0) {
    const auto seed = flags["seed"].as<uint64_t>();
    return Seeds{seed, seed};
  }
  const std::string text = flags["seeds"].as<std::string>();
  const size_t dash = text.find('-');
  const auto is_number = [](const std::string& it) {
    constexpr size_t kMostDigits = 18;
    return !it.empty() && it.size() <= kMostDigits &&
           it.find_first_not_of("0123456789") == std::string::npos;
  };
  if (dash == std::string::npos || !is_number(text.substr(0, dash)) ||
      !is_number(text.substr(dash + 1)))
    return std::nullopt;
  const Seeds seeds{std::stoull(text.substr(0, dash)),
                    std::stoull(text.substr(dash + 1))};
  return seeds.first <= seeds.last ? std::optional(seeds) : std::nullopt;
}

std::optional<InjectedDefect> InjectedDefectOf(const std::string& text) {
  for (const auto& [injected_defect, name] : kInjectedDefects) {
    if (text == name)
      return injected_defect;
  }
  return std::nullopt;
}

void PrintPlan(uint64_t seed, const FaultPlan& plan) {
  std::cout << "plan of seed " << seed << ":\n";
  for (const auto& fault : plan)
    std::cout << "  " << ToText(fault) << "\n";
}

// Returns false if the run can't be started.
bool RunSeed(const SoakOptions& options, SoakReport& report) {
  PrintPlan(options.seed, DrawFaultPlan(options.seed, options.span));
  std::cout.flush();
  auto run = SoakRun::Create(options);
  if (!run) {
    std::cerr << "bilberrysoak: " << ToText(run.error()) << "\n";
    return false;
  }
  run.value()->Run(IsStopRequested);
  WriteFindings(*run.value());
  for (const auto& violation : run.value()->checker().violations())
    std::cout << "BROKEN " << ToText(violation.invariant) << " "
              << violation.request << ": " << violation.detail << " (in "
              << options.folder << ")\n";
  report.Add(*run.value());
  return true;
}

int Run(const cxxopts::ParseResult& flags) {
  const auto seeds = SeedsOf(flags);
  SoakOptions options;
  options.span = std::chrono::seconds(flags["seconds"].as<uint64_t>());
  options.hosts = flags["hosts"].as<size_t>();
  options.program = flags["entry"].as<std::string>();
  const auto injected_defect =
      InjectedDefectOf(flags["sabotage"].as<std::string>());
  if (!seeds || !injected_defect || options.hosts < 1 ||
      options.hosts > kMaxHosts) {
    std::cerr << "bilberrysoak: --seeds is A-B, --hosts 1 to 60, --sabotage as "
                 "--help says\n";
    return kExitUsage;
  }
  options.injected_defect = *injected_defect;
  SoakReport report;
  for (uint64_t seed = seeds->first; seed <= seeds->last && !IsStopRequested();
       ++seed) {
    options.seed = seed;
    options.folder =
        flags["keep"].as<std::string>() + "/seed-" + std::to_string(seed);
    if (flags.count("plan") > 0)
      PrintPlan(seed, DrawFaultPlan(seed, options.span));
    else if (!RunSeed(options, report))
      return kExitStart;
  }
  if (flags.count("plan") > 0)
    return 0;
  report.Print(std::cout);
  if (IsStopRequested()) {
    std::cout << "interrupted: the last seed did not run to its end\n";
    return kExitInterrupted;
  }
  return report.has_violations() ? kExitBroken : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
