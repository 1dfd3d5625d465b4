#pragma once

#include <map>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"

namespace bilberry::emulation {

// Hosts that are partitioned from all endpoints for a time, while callers, the
// store and the other hosts still reach them. Counts how many requests are
// served at these and at the others meanwhile.
class EmulatedCuts {
 public:
  // Both must outlive this object.
  EmulatedCuts(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  // The scenario begins.
  void Begin(base::TimePoint now) { began_ = now; }
  bool IsCut(size_t host, base::TimePoint now) const;
  // The host gets a request of this caller.
  void NoteRequest(base::CallerId caller, size_t host, base::TimePoint now);
  // The caller's request has its answer.
  void NoteAnswered(base::CallerId caller, bool is_served);

 private:
  // Whether any host has been cut for so long that others could know.
  bool IsCounted(base::TimePoint now) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  base::TimePoint began_;
  std::map<base::CallerId, ServedTally*> counted_;
};

}  // namespace bilberry::emulation
