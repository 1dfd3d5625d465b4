#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// What a host knows of a cold endpoint, as reported to the owner of the
// endpoint's limit when a permit is requested. A cold endpoint is one that is
// warming up.
struct ColdReport {
  double per_second = 0;  // Rate allowed to all hosts together.
  base::Duration left{};  // Remaining cold time.
};

// Bound, set by operators, on what all hosts together may send a cold endpoint:
// in any second, `over` times the requests that it can handle, plus `slack`
// requests.
struct ColdRateBound {
  double over = 1;
  double slack = 0;
};

// Returns the rate, in requests per second, at which one host grants permits
// for a cold endpoint that can handle `per_second`. Two hosts that grant
// permits at the same time, because their host lists differ, stay within the
// bound together, as does one such host beside hosts that have not learned yet
// that the endpoint is cold.
double ColdRatePerHost(double per_second, const ColdRateBound& bound);

// Tracks cold endpoints, as stated by their rows in the store and their
// answers, or reported by peers. The request rate of such an endpoint is
// limited until its cold time is over, and then raised in steps (slow start).
// Pure: time is passed in.
class ColdEndpoints {
 public:
  // Sets the rate of a cold endpoint by pool, in requests per second. Endpoints
  // of pools that aren't named are not limited.
  void SetPoolRates(std::map<base::PoolName, double> rates);

  // Records the endpoint's own statement that it stays cold for `left` from now
  // on; a later statement replaces an earlier one. Returns true when the
  // endpoint becomes cold by this.
  bool Note(const ListedEndpoint& endpoint,
            base::Duration left,
            base::TimePoint now);
  // Records the report of a peer that requests a permit. Can only extend the
  // cold time.
  void NoteByPeer(const base::EndpointName& name,
                  base::Incarnation incarnation,
                  const ColdReport& report,
                  base::TimePoint now);

  // Returns what the endpoint itself told this host; empty if the endpoint said
  // nothing during this incarnation, or isn't cold.
  std::optional<ColdReport> ReportOf(const base::EndpointName& name,
                                     base::Incarnation incarnation,
                                     base::TimePoint now) const;
  // Returns the rate limit of this incarnation in requests per second; empty if
  // unlimited.
  std::optional<double> RateOf(const base::EndpointName& name,
                               base::Incarnation incarnation) const;
  bool Knows(const base::EndpointName& name) const {
    return entries_.contains(name);
  }

  // Raises the rates whose next step is due; returns the endpoints whose limit
  // is lifted.
  std::vector<base::EndpointName> TakeWarmedUp(base::TimePoint now);
  // Returns when the next rate is due to be raised.
  std::optional<base::TimePoint> NextStep() const;
  // Counter that is incremented with each change of a rate.
  uint64_t changes() const { return changes_; }

 private:
  struct Entry {
    base::Incarnation incarnation{};
    base::PoolName pool;   // Empty if only peers reported the endpoint.
    double peer_rate = 0;  // Rate reported by peers.
    // End of the cold time as stated by the endpoint.
    base::TimePoint cold_until;
    // End of the cold time as reported by peers.
    base::TimePoint cold_until_by_peers;
    uint32_t steps = 0;  // Steps taken since the cold time ended.

    base::TimePoint NextStep() const;
  };

  // Returns null if this incarnation isn't known to be cold.
  const Entry* Find(const base::EndpointName& name,
                    base::Incarnation incarnation) const;
  // Returns the entry of this incarnation, created if necessary; null if a
  // later incarnation is known, or if there are too many entries.
  Entry* FindOrCreate(const base::EndpointName& name,
                      base::Incarnation incarnation);
  double PoolRateOf(const Entry& entry) const;
  // Sets the entry's step from the time since its cold time ended.
  void UpdateStep(Entry& entry, base::TimePoint now);

  std::map<base::PoolName, double> rates_;
  std::map<base::EndpointName, Entry> entries_;
  uint64_t changes_ = 0;
};

}  // namespace bilberry::forward
