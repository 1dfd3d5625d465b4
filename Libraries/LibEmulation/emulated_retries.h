#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "LibBase/time.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"

namespace bilberry::emulation {

// Checks the retry budget over all hosts together: in any ten seconds the
// arrivals at engines beyond the first one of each request may be at most a
// fraction of the requests plus an allowance.
class EmulatedRetries {
 public:
  // Both arguments must outlive this object.
  EmulatedRetries(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  // Records a request that a caller sends; a caller's own retry is a request of
  // its own.
  void NoteRequest(const std::string& request_id, base::TimePoint now);
  // Records that an attempt of the request has reached an engine.
  void NoteArrival(const std::string& request_id, base::TimePoint now);

 private:
  // Number of requests in the ten seconds that end at `end`.
  uint64_t RequestsUntil(base::TimePoint end) const;
  double Allowed(base::TimePoint now) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  std::deque<base::TimePoint> requests_;  // In the last two windows.
  std::deque<base::TimePoint> retries_;   // In the last window.
  std::unordered_map<std::string, uint32_t> arrivals_;  // Per request.
};

}  // namespace bilberry::emulation
