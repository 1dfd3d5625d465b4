#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// What a failed probe says about the peer.
enum class ProbeVerdict {
  kNone,     // Nothing, because this host itself was late.
  kSuspect,  // One probe missed, perhaps just slow: new work goes to others.
  kLost,     // Two probes in a row missed: pending work moves to others, too.
};

// Failure detector that probes the hosts on which this one relies, once nothing
// was heard from them for a while. Probes are needed because a frozen or
// partitioned host doesn't close its connections, and because its answers may
// take seconds even when all is well.
class PeerFailureDetector {
 public:
  struct Pace {
    // Time without an answer after which a host is probed.
    std::chrono::milliseconds probe_delay{150};
    std::chrono::milliseconds timeout{350};
  };

  // Adapts the pace: in a larger fleet, more hosts probe the same few peers.
  void SetFleetSize(size_t hosts);
  // Sets the hosts that are probed whether or not they are in use.
  void Monitor(std::set<base::HostName> hosts);
  // Records a request to the host, which is then watched for a while.
  void NoteUse(const base::HostName& host, base::TimePoint now);

  // Returns the hosts to probe now. Each probe ends in one call of NoteHeard()
  // or NoteProbeFailed().
  std::vector<base::HostName> TakeDueProbes(base::TimePoint now);
  // Records an answer of any kind.
  void NoteHeard(const base::HostName& host, base::TimePoint now);
  ProbeVerdict NoteProbeFailed(const base::HostName& host, base::TimePoint now);
  // Stops watching a host that was removed from the host list.
  void Forget(const base::HostName& host) { watched_.erase(host); }

  const Pace& pace() const { return pace_; }
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  struct Watched {
    base::TimePoint used_until;
    base::TimePoint due;
    base::TimePoint probed_at;
    bool is_probing = false;     // A probe is in flight.
    uint32_t failed_probes = 0;  // Consecutive failed probes.
  };

  bool ShouldProbe(const base::HostName& host,
                   const Watched& it,
                   base::TimePoint now) const;

  Pace pace_;
  std::set<base::HostName> monitored_;
  std::map<base::HostName, Watched> watched_;
  base::TimePoint used_until_;  // Until when any host counts as in use.
  base::TimePoint last_taken_;  // Time of the last TakeDueProbes().
};

}  // namespace bilberry::forward
