#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "LibBase/time.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"

namespace bilberry::emulation {

// What reaches engines beyond the first arrival of each request, over all hosts
// together: in any ten seconds it may be a part of the requests, and some more.
class EmulatedRetries {
 public:
  // Both must outlive this.
  EmulatedRetries(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  // A caller has sent a request, also one that it sends once more.
  void NoteRequest(const std::string& request_id, base::TimePoint now);
  // It has reached an engine.
  void NoteArrival(const std::string& request_id, base::TimePoint now);

 private:
  // Requests in the ten seconds that end then.
  uint64_t RequestsUntil(base::TimePoint end) const;
  double Allowed(base::TimePoint now) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  std::deque<base::TimePoint> requests_;  // Of the last two windows.
  std::deque<base::TimePoint> retries_;   // Of the last window.
  std::unordered_map<std::string, uint32_t> arrivals_;  // By request.
};

}  // namespace bilberry::emulation
