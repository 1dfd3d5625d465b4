#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "LibEmulation/emulated_limits.h"
#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"
#include "LibForward/endpoint_notice.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::emulation {

// Simulates the notices that endpoints put into their answers, and counts
// requests of hosts that ignore them.
class EmulatedNotices {
 public:
  // Both arguments must outlive this object.
  EmulatedNotices(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report), limits_(scenario, report) {}

  // Adds an endpoint with its index in its pool.
  void Add(const base::EndpointName& name, uint32_t index) {
    indexes_[name] = index;
  }
  // Starts the scenario's clock; called when the first callers arrive.
  void Begin(base::TimePoint now) {
    began_ = now;
    limits_.Begin(now);
  }

  // How long the endpoint still refuses requests; empty when it accepts them.
  std::optional<base::Duration> RefusalTimeLeft(
      const forward::ListedEndpoint& endpoint,
      base::TimePoint now) const;

  // Records that a request or call of a host has reached the endpoint; counts
  // it if an earlier notice told the host not to send it.
  void NoteArrival(size_t host,
                   const forward::ListedEndpoint& endpoint,
                   base::TimePoint now);
  // Records anything else that a host sends to the endpoint; it counts only
  // against the endpoint's limit.
  void CountAgainstLimit(size_t host,
                         const forward::ListedEndpoint& endpoint,
                         base::TimePoint now);
  // Excludes a host that can't know the limits because it was frozen or
  // partitioned.
  void Exempt(size_t host) { limits_.Exempt(host); }
  // The notice in the endpoint's answer to the host; recorded as known to the
  // host.
  forward::EndpointNotice NoticeFor(size_t host,
                                    const forward::ListedEndpoint& endpoint,
                                    base::TimePoint now);

 private:
  // What one host knows of one endpoint.
  struct KnownNotices {
    std::optional<base::TimePoint> leaving_since;
    base::TimePoint backoff_since;
    base::TimePoint backoff_until;
  };

  bool SendsRetryAfter(const forward::ListedEndpoint& endpoint) const;
  bool IsLeaving(const forward::ListedEndpoint& endpoint,
                 base::TimePoint now) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  EmulatedLimits limits_;
  base::TimePoint began_ = base::TimePoint::max();
  std::map<base::EndpointName, uint32_t> indexes_;
  std::map<std::pair<size_t, base::EndpointName>, KnownNotices> known_notices_;
  // When each leaving endpoint first announced its departure to any host.
  std::map<base::EndpointName, base::TimePoint> first_announced_leaving_;
};

}  // namespace bilberry::emulation
