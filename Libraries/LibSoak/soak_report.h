#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "LibSoak/soak_run.h"

namespace bilberry::soak {

// What all runs together have shown.
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
  std::map<Invariant, uint64_t> broken_;
  std::map<Invariant, base::Duration> worst_;
};

// Writes what is known of each broken promise to the run's folder: events on
// both sides, and what the hosts' logs tell of the request.
void WriteFindings(const SoakRun& run);

}  // namespace bilberry::soak
