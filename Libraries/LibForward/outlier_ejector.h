#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// Durations of an ejection, during which a failing endpoint gets no new
// requests if others are available. The duration doubles with each further
// consecutive failure, up to the longest.
struct EjectionPolicy {
  std::chrono::milliseconds first{0};
  std::chrono::milliseconds longest{0};
  // Consecutive failures; fewer may be caused by the requests themselves.
  uint32_t failures_to_eject = 1;
};

// Outlier ejection: counts consecutive failures of this host's requests and
// stage calls by endpoint, and holds the end of each endpoint's ejection.
class OutlierEjector {
 public:
  void NoteAnswered(const base::EndpointName& name);
  void NoteFailed(const base::EndpointName& name,
                  const EjectionPolicy& policy,
                  base::TimePoint now);
  // Ejects an endpoint that did not fail, but is full or has no memory for
  // results.
  void EjectUntil(const base::EndpointName& name, base::TimePoint until);

  uint32_t CountOf(const base::EndpointName& name) const;
  // Returns a time in the past if the endpoint isn't ejected.
  base::TimePoint EjectedUntil(const base::EndpointName& name) const;

  // Drops the state of endpoints that aren't listed.
  void KeepOnly(std::span<const ListedEndpoint> listed);

 private:
  struct Entry {
    uint32_t failures = 0;  // Consecutive failures.
    base::TimePoint ejected_until;
  };

  std::map<base::EndpointName, Entry> entries_;
};

}  // namespace bilberry::forward
