#include <doctest/doctest.h>

#include "LibPolicy/pool_simulation.h"

namespace bilberry::policy {
namespace {

using declare::Rank;
using std::chrono::milliseconds;

constexpr PolicyKind kBothPolicies[] = {PolicyKind::kBaseline,
                                        PolicyKind::kAdaptive};
constexpr double kSteadyLoad = 0.7;
constexpr double kFloodLoad = 5.0;

Traffic MakeTraffic(const std::string& name, Rank rank, double per_second) {
  Traffic traffic;
  traffic.name = name;
  traffic.rank = rank;
  traffic.per_second = per_second;
  return traffic;
}

// A load of the three ranks, as multiples of the pool's capacity.
Scenario MakeScenario(PolicyKind policy,
                      double urgent,
                      double ordinary,
                      double background) {
  Scenario scenario;
  scenario.policy = policy;
  const double capacity = scenario.Capacity();
  scenario.traffic = {
      MakeTraffic("urgent", Rank::kUrgent, urgent * capacity),
      MakeTraffic("ordinary", Rank::kOrdinary, ordinary * capacity),
      MakeTraffic("background", Rank::kBackground, background * capacity)};
  return scenario;
}

SimulationResult Simulate(const Scenario& scenario) {
  return PoolSimulation(scenario).Run();
}

// Stage time of runs in time, as a fraction of the pool's capacity.
double FractionOfCapacity(const Scenario& scenario,
                          const TrafficResult& result) {
  const std::chrono::duration<double> served = result.served;
  const std::chrono::duration<double> counted =
      scenario.length - scenario.warm_up - milliseconds(1000);
  return served / counted /
         static_cast<double>(scenario.endpoints * scenario.slots);
}

TEST_SUITE_BEGIN("policy");

TEST_CASE("at a steady load nearly all runs are in time") {
  for (const PolicyKind policy : kBothPolicies) {
    CAPTURE(policy);
    const auto result = Simulate(MakeScenario(policy, 0.2, 0.3, 0.2));
    CHECK(result.traffic.at("urgent").InTimePercent() >= 99.5);
    CHECK(result.Sum().InTimePercent() >= 99.0);
  }
}

TEST_CASE("a background flood harms no other rank, unlike at the baseline") {
  for (const PolicyKind policy : kBothPolicies) {
    CAPTURE(policy);
    const auto steady = Simulate(MakeScenario(policy, 0.2, 0.3, 0.2));
    const auto flood = Simulate(MakeScenario(policy, 0.2, 0.3, kFloodLoad));
    const double urgent = flood.traffic.at("urgent").InTimePercent();
    const double loss = steady.traffic.at("ordinary").InTimePercent() -
                        flood.traffic.at("ordinary").InTimePercent();
    MESSAGE("urgent in time " << urgent << "%, ordinary loses " << loss);
    const bool is_met = urgent >= 99.0 && loss <= 2.0;
    CHECK(is_met == (policy == PolicyKind::kAdaptive));
  }
}

TEST_CASE("an urgent flood leaves the other ranks their share") {
  for (const PolicyKind policy : kBothPolicies) {
    CAPTURE(policy);
    const Scenario scenario = MakeScenario(policy, kFloodLoad, 0.5, 0.5);
    const auto result = Simulate(scenario);
    const double urgent =
        FractionOfCapacity(scenario, result.traffic.at("urgent"));
    const double ordinary =
        FractionOfCapacity(scenario, result.traffic.at("ordinary"));
    const double background =
        FractionOfCapacity(scenario, result.traffic.at("background"));
    MESSAGE("parts of capacity: urgent " << urgent << ", ordinary " << ordinary
                                         << ", background " << background);
    const bool is_met = ordinary >= 0.9 * 0.20 && background >= 0.9 * 0.05 &&
                        urgent >= 0.9 * 0.75;
    CHECK(is_met == (policy == PolicyKind::kAdaptive));
  }
}

TEST_CASE("goodput does not collapse under overload, unlike the baseline's") {
  for (const PolicyKind policy : kBothPolicies) {
    CAPTURE(policy);
    double at_one = 0;
    double least = 1;
    for (const double load : {1.0, 2.0, 3.0, 4.0, 5.0}) {
      const Scenario scenario =
          MakeScenario(policy, 0.2 * load, 0.5 * load, 0.3 * load);
      const auto sum = Simulate(scenario).Sum();
      const double goodput = FractionOfCapacity(scenario, sum);
      MESSAGE("load " << load << ": goodput " << goodput);
      at_one = load == 1.0 ? goodput : at_one;
      least = std::min(least, goodput);
    }
    CHECK((least >= 0.9 * at_one) == (policy == PolicyKind::kAdaptive));
  }
}

TEST_CASE("when a stage's time doubles little work is wasted") {
  for (const PolicyKind policy : kBothPolicies) {
    CAPTURE(policy);
    Scenario scenario;
    scenario.policy = policy;
    scenario.stages = 3;
    const double capacity = scenario.Capacity();
    scenario.traffic = {
        MakeTraffic("urgent", Rank::kUrgent, 0.2 * capacity),
        MakeTraffic("ordinary", Rank::kOrdinary, 0.3 * capacity),
        MakeTraffic("background", Rank::kBackground, 0.2 * capacity)};
    for (size_t i = 0; i < scenario.endpoints; ++i)
      scenario.changes.push_back({milliseconds(8000), i, 2.0});
    const auto sum = Simulate(scenario).Sum();
    const double wasted =
        static_cast<double>(sum.wasted.count()) /
        static_cast<double>((sum.served + sum.wasted).count());
    MESSAGE("wasted " << 100 * wasted << "% of the stage time");
    CHECK((wasted <= 0.05) == (policy == PolicyKind::kAdaptive));
  }
}

TEST_CASE("two overloading teams do not slow down the small teams") {
  for (const PolicyKind policy : kBothPolicies) {
    CAPTURE(policy);
    Scenario scenario;
    scenario.policy = policy;
    constexpr size_t kSmallTeams = 8;
    const double fair_share = scenario.Capacity() / (kSmallTeams + 2);
    for (size_t i = 0; i < kSmallTeams; ++i)
      scenario.traffic.push_back(MakeTraffic("small-" + std::to_string(i),
                                             Rank::kOrdinary,
                                             kSteadyLoad * fair_share));
    const auto alone = Simulate(scenario);
    for (const char* name : {"large-1", "large-2"})
      scenario.traffic.push_back(
          MakeTraffic(name, Rank::kOrdinary, 10 * fair_share));
    const auto together = Simulate(scenario);
    double worst_loss = 0;
    for (const auto& [name, result] : alone.traffic)
      worst_loss =
          std::max(worst_loss, result.InTimePercent() -
                                   together.traffic.at(name).InTimePercent());
    MESSAGE("worst loss of a small team: " << worst_loss << " points");
    CHECK((worst_loss <= 1.0) == (policy == PolicyKind::kAdaptive));
  }
}

TEST_SUITE_END();

}  // namespace
}  // namespace bilberry::policy
