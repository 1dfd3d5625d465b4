#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "LibEmulation/emulation_report.h"
#include "LibEmulation/load_scenario.h"
#include "LibForward/feed_row.h"

namespace bilberry::emulation {

// Endpoints that are cold for a while, what their entries in the store say of
// it, and whether all hosts together keep to what they bear: in any second so
// many times that, and some more, whatever a host knows.
class EmulatedColdEndpoints {
 public:
  // Both must outlive this.
  EmulatedColdEndpoints(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  // An endpoint at its place of its pool.
  void Add(const forward::ListedEndpoint& endpoint, uint32_t index);
  // Callers come from now on.
  void Begin(base::TimePoint now);

  // How the store's list of endpoints stands.
  uint64_t VersionAt(base::TimePoint now) const;
  std::vector<forward::FeedRow> RowsAt(base::TimePoint now) const;
  // What has changed since that version.
  std::vector<forward::FeedRow> RowsSince(uint64_t version,
                                          base::TimePoint now) const;

  // Anything that a host sent has reached the endpoint.
  void NoteArrival(const forward::ListedEndpoint& endpoint,
                   base::TimePoint now);

 private:
  struct Endpoint {
    forward::ListedEndpoint listed;
    uint32_t index = 0;
    std::optional<base::TimePoint> starts;  // Empty: it was always there.
    base::TimePoint cold_from = base::TimePoint::max();
    base::TimePoint cold_until = base::TimePoint::max();
    bool is_ever_cold = false;
    std::deque<base::TimePoint> arrivals;  // Of the last second.
  };

  // An entry as it is written.
  struct Writing {
    base::TimePoint time;
    base::EndpointName name;
    base::Duration cold_for{};
  };

  void AddWritings(const Endpoint& endpoint);
  forward::FeedRow RowOf(const Writing& writing) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  std::map<base::EndpointName, Endpoint> endpoints_;
  std::vector<Writing> writings_;  // By time; the first makes version 2.
};

}  // namespace bilberry::emulation
