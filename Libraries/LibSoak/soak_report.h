#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "LibSoak/soak_run.h"

namespace bilberry::soak {

// Aggregated results of several runs.
class SoakReport {
 public:
  void Add(const SoakRun& run);
  bool has_violations() const { return violations_ > 0; }
  void Print(std::ostream& out) const;

 private:
  std::vector<uint64_t> seeds_;
  uint64_t violations_ = 0;
  std::map<std::string, uint64_t> faults_;
  std::map<std::string, uint64_t> outcomes_;
  std::map<Invariant, uint64_t> checks_;
  std::map<Invariant, uint64_t> violations_by_invariant_;
  std::map<Invariant, base::Duration> worst_;
};

// Writes a file for each violation to the run's folder: the events around it,
// and the records of the request in the hosts' logs.
void WriteFindings(const SoakRun& run);

}  // namespace bilberry::soak
