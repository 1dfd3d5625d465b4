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

// Simulates the request limits that endpoints name, and checks that all hosts
// together respect them: in any four seconds an endpoint may get one and a half
// times its limit plus five requests. Requests count only if their host learned
// of the limit some time before.
class EmulatedLimits {
 public:
  // Both arguments must outlive this object.
  EmulatedLimits(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  void Begin(base::TimePoint now) { began_ = now; }

  // The limit that the endpoint with this index in its pool names at this time.
  forward::RequestLimit LimitOf(const forward::ListedEndpoint& endpoint,
                                uint32_t index,
                                base::TimePoint now) const;
  // Records that an answer with this limit has reached the host.
  void NoteLimitKnown(size_t host,
                      const forward::ListedEndpoint& endpoint,
                      const forward::RequestLimit& limit,
                      base::TimePoint now);
  void NoteArrival(size_t host,
                   const forward::ListedEndpoint& endpoint,
                   uint32_t index,
                   base::TimePoint now);
  // Excludes the host's requests from now on.
  void Exempt(size_t host) { exempt_.insert(host); }

 private:
  struct Limited {
    base::TimePoint first_announced;
    // Counted requests of the last four seconds.
    std::deque<base::TimePoint> arrivals;
    // When each host learned of a limit.
    std::map<size_t, base::TimePoint> known_since;
  };

  // The highest limit that the endpoint named in the window that ends at `now`.
  std::optional<double> HighestLimitIn(const forward::ListedEndpoint& endpoint,
                                       uint32_t index,
                                       base::TimePoint now) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  base::TimePoint began_ = base::TimePoint::max();
  std::map<base::EndpointName, Limited> limited_;
  std::set<size_t> exempt_;
};

}  // namespace bilberry::emulation
