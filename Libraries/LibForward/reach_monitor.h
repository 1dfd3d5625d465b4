#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// Notices that this host can't open connections to the endpoints of a pool, or
// to any endpoint, while others perhaps can: its links to them are cut. Single
// endpoints that fail are no cut. Only new connections count as evidence,
// because open ones may live on behind a cut or go silent in front of one, and
// each piece of it counts from when its connection was begun. Probes find out
// more as soon as there is a suspicion, and when a cut is over.
class ReachMonitor {
 public:
  explicit ReachMonitor(uint64_t seed = 0) : random_(seed) {}

  void SetEndpoints(std::span<const ListedEndpoint> endpoints,
                    base::TimePoint now);
  // Why a connection was begun.
  enum class Purpose { kWork, kProbe };

  // A connection that was begun at `began` could not be made.
  void NoteUnreachable(const base::EndpointName& name,
                       Purpose purpose,
                       base::TimePoint began,
                       base::TimePoint now);
  // A connection that was begun at `began` was made.
  void NoteReached(const base::EndpointName& name,
                   base::TimePoint began,
                   base::TimePoint now);

  // Whether no endpoint of the pool can be reached.
  bool IsCutFrom(const base::PoolName& pool) const;
  // Whether no endpoint of any pool can be reached.
  bool is_cut_off() const { return is_cut_off_; }
  // Counter that is incremented when either may have changed.
  uint64_t changes() const { return changes_; }
  // The pools that can't be reached.
  std::vector<base::PoolName> CutPools() const;

  // Returns the endpoints to probe now, by a new connection each.
  std::vector<ListedEndpoint> TakeDueProbes(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  struct Failure {
    base::TimePoint began;  // Of the latest failed connection.
    uint32_t count = 0;
    bool has_failed_probe = false;
  };
  struct Pool {
    std::vector<ListedEndpoint> serving;
    // By endpoint, since a connection to any of the pool was made.
    std::map<base::EndpointName, Failure> failures;
    bool is_cut = false;
  };

  Pool* PoolOf(const base::EndpointName& name);
  bool HasCut() const;
  bool IsSuspicious() const;
  void DropOldFailures(base::TimePoint now);
  void Judge(base::TimePoint now);
  static bool IsCut(const Pool& pool);
  bool IsCutOff() const;
  const ListedEndpoint& ProbedOf(const Pool& pool);

  base::Random random_;
  std::map<base::PoolName, Pool> pools_;
  std::map<base::EndpointName, base::PoolName> pool_of_;
  // When the latest connection to any endpoint that was made was begun.
  base::TimePoint reached_as_of_;
  bool is_cut_off_ = false;
  uint64_t changes_ = 0;
  base::TimePoint next_probe_;
};

}  // namespace bilberry::forward
