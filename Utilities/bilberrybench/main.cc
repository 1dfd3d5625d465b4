// Measures the cost of the policy's scheduling decisions, and of reading what
// arrives in many pieces.

#include <charconv>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <optional>
#include <string>

#include "LibTransport/program.h"
#include "decision_bench.h"
#include "reading_bench.h"

namespace {

using bilberry::bench::DecisionPlan;
using bilberry::policy::PolicyKind;

constexpr size_t kEndpointCounts[] = {10, 50, 100, 300, 1'000};
constexpr int kColumn = 12;
constexpr int kWideColumn = 32;

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "bilberrybench",
      "Prints what a decision costs, from offer to dispatch, with 200 teams "
      "and 10,000 queued, by the number of endpoints. Then what a piece costs "
      "each reader of a peer's bytes, by the number of pieces.\n"
      "Exit codes: 0 done, 2 bad flags.");
  auto add = options.add_options();
  // Parsed as text because g++ 12 reports a false -Wrestrict in cxxopts'
  // integer parsing.
  add("seed", "Seed of the random numbers",
      cxxopts::value<std::string>()->default_value("1"));
  return options;
}

std::optional<uint64_t> ParseSeed(const std::string& text) {
  uint64_t seed = 0;
  const char* end = text.data() + text.size();
  const auto [position, ec] = std::from_chars(text.data(), end, seed);
  if (ec != std::errc() || position != end)
    return std::nullopt;
  return seed;
}

void PrintReadingCosts() {
  std::cout << "\n"
            << std::setw(kWideColumn) << "reader" << std::setw(kColumn)
            << "pieces" << std::setw(kColumn) << "piece_ns"
            << "\n";
  for (const auto& it : bilberry::bench::MeasureReading())
    std::cout << std::setw(kWideColumn) << it.what << std::setw(kColumn)
              << it.pieces << std::setw(kColumn) << it.per_piece.count()
              << "\n";
}

int Run(const cxxopts::ParseResult& flags) {
  const auto seed = ParseSeed(flags["seed"].as<std::string>());
  if (!seed) {
    std::cerr << "bilberrybench: --seed must be a whole number\n";
    return bilberry::transport::kExitUsage;
  }
  std::cout << std::setw(kColumn) << "policy" << std::setw(kColumn)
            << "endpoints" << std::setw(kColumn) << "p50_ns"
            << std::setw(kColumn) << "p99_ns"
            << "\n";
  for (const PolicyKind policy :
       {PolicyKind::kBaseline, PolicyKind::kAdaptive}) {
    for (const size_t endpoints : kEndpointCounts) {
      DecisionPlan plan;
      plan.policy = policy;
      plan.endpoints = endpoints;
      plan.seed = *seed;
      const auto cost = bilberry::bench::MeasureDecisions(plan);
      std::cout << std::setw(kColumn)
                << (policy == PolicyKind::kAdaptive ? "present" : "baseline")
                << std::setw(kColumn) << endpoints << std::setw(kColumn)
                << cost.p50.count() << std::setw(kColumn) << cost.p99.count()
                << "\n";
    }
  }
  PrintReadingCosts();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return bilberry::transport::RunProgram(argc, argv, MakeOptions(), Run);
}
