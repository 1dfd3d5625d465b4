#include "LibSoak/soak_report.h"

#include <algorithm>
#include <chrono>
#include <fstream>

#include "LibOperator/request_history.h"

namespace bilberry::soak {

namespace {

constexpr std::chrono::milliseconds kAround{3000};
constexpr size_t kMaxFindings = 20;

void PrintViolation(std::ostream& out,
                    const SoakRun& run,
                    const Violation& violation) {
  out << "seed " << run.options().seed << ": " << ToText(violation.invariant)
      << " broken at unix_ms " << run.trail().UnixMs(violation.at) << " "
      << violation.request << ": " << violation.detail << "\n";
}

void WriteFinding(std::ostream& out,
                  const SoakRun& run,
                  const Violation& violation) {
  PrintViolation(out, run, violation);
  out << "\nEvents around the violation:\n";
  run.trail().Print(out, violation.at, kAround, violation.request);
  if (violation.request.empty())
    return;
  operators::RequestHistory history(violation.request);
  for (const std::string& log : run.logs()) {
    std::ifstream file(log);
    history.Read(file, log);
  }
  out << "\nLog records of the request:\n" << history.Print();
}

}  // namespace

void SoakReport::Add(const SoakRun& run) {
  const InvariantChecker& checker = run.checker();
  seeds_.push_back(run.options().seed);
  for (const PlannedFault& fault : run.plan())
    ++faults_[std::string(ToText(fault.kind))];
  for (const auto& [outcome, n] : checker.outcomes())
    outcomes_[outcome] += n;
  for (const auto& [invariant, name] : kInvariants) {
    checks_[invariant] += checker.checks(invariant);
    worst_[invariant] = std::max(worst_[invariant], checker.worst(invariant));
  }
  violations_ += checker.violations().size();
  for (const Violation& violation : checker.violations())
    ++violations_by_invariant_[violation.invariant];
}

void SoakReport::Print(std::ostream& out) const {
  out << "seeds:";
  for (const uint64_t seed : seeds_)
    out << " " << seed;
  out << "\nfaults:\n";
  for (const auto& [kind, n] : faults_)
    out << "  " << kind << " " << n << "\n";
  out << "requests:\n";
  for (const auto& [outcome, n] : outcomes_)
    out << "  " << outcome << " " << n << "\n";
  out << "promises: checked, broken, longest time in ms\n";
  for (const auto& [invariant, name] : kInvariants) {
    const auto broken = violations_by_invariant_.find(invariant);
    out << "  " << name << " " << checks_.at(invariant) << " "
        << (broken == violations_by_invariant_.end() ? 0 : broken->second)
        << " "
        << std::chrono::duration_cast<std::chrono::milliseconds>(
               worst_.at(invariant))
               .count()
        << "\n";
  }
}

void WriteFindings(const SoakRun& run) {
  size_t n = 0;
  for (const Violation& violation : run.checker().violations()) {
    if (++n > kMaxFindings)
      return;
    std::ofstream file(run.options().folder + "/finding-" + std::to_string(n) +
                       ".txt");
    WriteFinding(file, run, violation);
  }
  std::ofstream plan(run.options().folder + "/plan.txt");
  for (const PlannedFault& fault : run.plan())
    plan << ToText(fault) << "\n";
}

}  // namespace bilberry::soak
