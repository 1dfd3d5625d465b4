#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// What a host knows of a cold endpoint, as it tells the keeper of its permits.
struct ColdReport {
  double per_second = 0;  // What all hosts together may send.
  base::Duration left{};  // Of its cold time.
};

// What all hosts together may send a cold endpoint, as operators say it: in any
// second so many times what it bears, and some more.
struct ColdRateBound {
  double over = 1;
  double slack = 0;
};

// The pace at which one host grants permits for endpoints that bear so much.
// Two hosts that both do, since they know different hosts, or one beside hosts
// that don't know yet, stay within the bound.
double ColdRatePerHost(double per_second, const ColdRateBound& bound);

// Endpoints that are cold, as their entries say. What they get is bounded until
// that is over, and grows in steps behind it. Pure: time is passed in.
class ColdEndpoints {
 public:
  // At which pace cold endpoints of a pool get requests; those of pools that
  // aren't named are sent what others are.
  void SetPaces(std::map<base::PoolName, double> paces);

  // The endpoint itself says that it is cold for so long from now on; a later
  // word replaces an earlier one. True when it turns cold by that.
  bool Note(const ListedEndpoint& endpoint,
            base::Duration left,
            base::TimePoint now);
  // A peer that asks for a permit knows it as cold. Only adds.
  void NoteByPeer(const base::EndpointName& name,
                  base::Incarnation incarnation,
                  const ColdReport& word,
                  base::TimePoint now);

  // What this host was told by the endpoint itself; empty when that says
  // nothing of this life, or isn't cold.
  std::optional<ColdReport> ReportOf(const base::EndpointName& name,
                                     base::Incarnation incarnation,
                                     base::TimePoint now) const;
  // Empty when this life of the endpoint may be sent as much as comes.
  std::optional<double> RateOf(const base::EndpointName& name,
                               base::Incarnation incarnation) const;
  bool Knows(const base::EndpointName& name) const {
    return entries_.contains(name);
  }

  // Takes the steps that are due; returns the endpoints that have taken their
  // last one.
  std::vector<base::EndpointName> TakeWarm(base::TimePoint now);
  // When the next step is.
  std::optional<base::TimePoint> NextStep() const;
  // Grows with each change of a rate.
  uint64_t changes() const { return changes_; }

 private:
  struct Entry {
    base::Incarnation incarnation{};
    base::PoolName pool;              // Empty when only peers told of it.
    double told_per_second = 0;       // By them.
    base::TimePoint cold_until;       // By its own word.
    base::TimePoint kept_cold_until;  // By peers' words.
    uint32_t steps = 0;               // Behind its cold time.

    base::TimePoint NextStep() const;
  };

  // Null when this life isn't known to be cold.
  const Entry* Find(const base::EndpointName& name,
                    base::Incarnation incarnation) const;
  // Null when the word is of an earlier life than the one that is known.
  Entry* Enter(const base::EndpointName& name, base::Incarnation incarnation);
  double PaceOf(const Entry& entry) const;
  // By where the cold time is at this moment.
  void TakeSteps(Entry& entry, base::TimePoint now);

  std::map<base::PoolName, double> paces_;
  std::map<base::EndpointName, Entry> entries_;
  uint64_t changes_ = 0;
};

}  // namespace bilberry::forward
