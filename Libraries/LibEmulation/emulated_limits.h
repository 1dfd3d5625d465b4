#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"
#include "LibForward/endpoint_notice.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::emulation {

// The limits that endpoints name, and whether all hosts together keep to them:
// in any four seconds an endpoint may get one and a half times what its limit
// allows, and five requests more. Only what hosts sent counts that were told
// some time before.
class EmulatedLimits {
 public:
  // Both must outlive this.
  EmulatedLimits(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  void Begin(base::TimePoint now) { began_ = now; }

  // What the endpoint at this place of its pool says at this time.
  forward::RequestLimit LimitOf(const forward::ListedEndpoint& endpoint,
                                uint32_t index,
                                base::TimePoint now) const;
  // An answer that says so has come to the host.
  void NoteTold(size_t host,
                const forward::ListedEndpoint& endpoint,
                const forward::RequestLimit& limit,
                base::TimePoint now);
  void NoteArrival(size_t host,
                   const forward::ListedEndpoint& endpoint,
                   uint32_t index,
                   base::TimePoint now);
  // What the host sends from now on doesn't count.
  void Excuse(size_t host) { excused_.insert(host); }

 private:
  struct Limited {
    base::TimePoint first_named;
    // Those that count, of the last four seconds.
    std::deque<base::TimePoint> arrivals;
    std::map<size_t, base::TimePoint> told;  // By host.
  };

  // The highest that it has named in the window that ends now.
  std::optional<double> HighestIn(const forward::ListedEndpoint& endpoint,
                                  uint32_t index,
                                  base::TimePoint now) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  base::TimePoint began_ = base::TimePoint::max();
  std::map<base::EndpointName, Limited> limited_;
  std::set<size_t> excused_;
};

}  // namespace bilberry::emulation
