#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// How long an endpoint that fails gets nothing new: doubled by each further
// failure in a row, up to the longest.
struct EjectionPolicy {
  std::chrono::milliseconds first{0};
  std::chrono::milliseconds longest{0};
  uint32_t failures_to_eject = 1;  // In a row; fewer may be the work's own.
};

// How this host's requests and calls at endpoints ended: failures in a row, and
// until when each endpoint rests.
class OutlierEjector {
 public:
  void NoteAnswered(const base::EndpointName& name);
  void NoteFailed(const base::EndpointName& name,
                  const EjectionPolicy& pace,
                  base::TimePoint now);
  // It rests without having failed: it is full, or has no room.
  void Rest(const base::EndpointName& name, base::TimePoint until);

  uint32_t CountOf(const base::EndpointName& name) const;
  // A time in the past when it doesn't rest.
  base::TimePoint EjectedUntil(const base::EndpointName& name) const;

  // Forgets those that aren't listed.
  void KeepOnly(std::span<const ListedEndpoint> listed);

 private:
  struct Entry {
    uint32_t failures = 0;  // In a row.
    base::TimePoint rests_until;
  };

  std::map<base::EndpointName, Entry> entries_;
};

}  // namespace bilberry::forward
