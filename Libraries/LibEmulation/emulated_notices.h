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

// What endpoints say of themselves in their answers, and whether the hosts that
// heard it heed it.
class EmulatedNotices {
 public:
  // Both must outlive this.
  EmulatedNotices(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report), limits_(scenario, report) {}

  // An endpoint's place in its pool.
  void Add(const base::EndpointName& name, uint32_t index) {
    indexes_[name] = index;
  }
  // Callers come from now on.
  void Begin(base::TimePoint now) {
    began_ = now;
    limits_.Begin(now);
  }

  // For how long the endpoint turns away what comes; empty when it doesn't.
  std::optional<base::Duration> TurnsAwayFor(
      const forward::ListedEndpoint& endpoint,
      base::TimePoint now) const;

  // A request or a call of a host has reached the endpoint; counted if that
  // host was told not to send it.
  void NoteArrival(size_t host,
                   const forward::ListedEndpoint& endpoint,
                   base::TimePoint now);
  // The same of anything else, which counts against its limit alone.
  void NoteOrder(size_t host,
                 const forward::ListedEndpoint& endpoint,
                 base::TimePoint now);
  // The host can't know: it was frozen or cut off.
  void Excuse(size_t host) { limits_.Excuse(host); }
  // What the endpoint's answer to the host says of it.
  forward::EndpointNotice Tell(size_t host,
                               const forward::ListedEndpoint& endpoint,
                               base::TimePoint now);

 private:
  // What an endpoint has told a host.
  struct Told {
    std::optional<base::TimePoint> leaving_since;
    base::TimePoint quiet_since;
    base::TimePoint quiet_until;
  };

  bool AnnouncesRefusals(const forward::ListedEndpoint& endpoint) const;
  bool IsLeaving(const forward::ListedEndpoint& endpoint,
                 base::TimePoint now) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  EmulatedLimits limits_;
  base::TimePoint began_ = base::TimePoint::max();
  std::map<base::EndpointName, uint32_t> indexes_;
  std::map<std::pair<size_t, base::EndpointName>, Told> told_;
  // When the first host was told that an endpoint leaves.
  std::map<base::EndpointName, base::TimePoint> first_told_leaving_;
};

}  // namespace bilberry::emulation
