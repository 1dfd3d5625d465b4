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

// Simulates endpoints with a cold period and the entries that they write to the
// store, and checks that all hosts together respect the rate limit of a cold
// endpoint: in any second at most a multiple of its rate plus an allowance,
// independent of what a single host knows.
class EmulatedColdEndpoints {
 public:
  // Both arguments must outlive this object.
  EmulatedColdEndpoints(const LoadScenario& scenario, EmulationReport& report)
      : scenario_(scenario), report_(report) {}

  // Adds an endpoint with its index in its pool.
  void Add(const forward::ListedEndpoint& endpoint, uint32_t index);
  // Starts the scenario's clock; called when the first callers arrive.
  void Begin(base::TimePoint now);

  // Lists the endpoint's new process.
  void Relist(const base::EndpointName& name,
              base::Incarnation incarnation,
              base::TimePoint now);

  // The version of the store's endpoint table.
  uint64_t VersionAt(base::TimePoint now) const;
  std::vector<forward::FeedRow> RowsAt(base::TimePoint now) const;
  // The rows changed after `version`.
  std::vector<forward::FeedRow> RowsSince(uint64_t version,
                                          base::TimePoint now) const;

  // Records that a request or call of a host has reached the endpoint.
  void NoteArrival(const forward::ListedEndpoint& endpoint,
                   base::TimePoint now);

 private:
  struct Endpoint {
    forward::ListedEndpoint listed;
    uint32_t index = 0;
    std::optional<base::TimePoint> starts;  // Empty if it was always listed.
    base::TimePoint cold_from = base::TimePoint::max();
    base::TimePoint cold_until = base::TimePoint::max();
    bool is_ever_cold = false;
    std::deque<base::TimePoint> arrivals;  // In the last second.
  };

  // One write of an endpoint's entry.
  struct EntryWrite {
    base::TimePoint time;
    base::EndpointName name;
    base::Duration cold_for{};
  };

  void AddEntryWrites(const Endpoint& endpoint);
  forward::FeedRow RowOf(const EntryWrite& writing) const;

  const LoadScenario& scenario_;
  EmulationReport& report_;
  std::map<base::EndpointName, Endpoint> endpoints_;
  std::vector<EntryWrite>
      entry_writes_;  // By time; the first one makes version 2.
};

}  // namespace bilberry::emulation
