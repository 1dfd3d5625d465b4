#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace bilberry::forward {

// What a missing sign of life means.
enum class ProbeVerdict {
  kNone,     // Nothing: this host itself was late.
  kSuspect,  // It may be slow: what is new is asked of others.
  kLost,     // It missed twice in a row: what waits there is asked of others.
};

// Asks the hosts that this one relies on whether they are there, once nothing
// was heard from them for a while: a host that is frozen or cut off closes no
// connection, and its answers may take seconds when all is well.
class PeerFailureDetector {
 public:
  struct Pace {
    std::chrono::milliseconds quiet{150};  // Until a host is asked.
    std::chrono::milliseconds timeout{350};
  };

  // The larger the fleet, the more hosts ask the same few.
  void SetFleetSize(size_t hosts);
  // Hosts that are asked whether or not they are used.
  void Monitor(std::set<base::HostName> hosts);
  // Something was asked of the host: it is watched for a while from now.
  void NoteUse(const base::HostName& host, base::TimePoint now);

  // Hosts to be asked now; each ends in one NoteHeard() or NoteProbeFailed().
  std::vector<base::HostName> TakeDueProbes(base::TimePoint now);
  // An answer of any kind.
  void NoteHeard(const base::HostName& host, base::TimePoint now);
  ProbeVerdict NoteProbeFailed(const base::HostName& host, base::TimePoint now);
  // It is no longer known.
  void Forget(const base::HostName& host) { watched_.erase(host); }

  const Pace& pace() const { return pace_; }
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  struct Watched {
    base::TimePoint used_until;
    base::TimePoint due;
    base::TimePoint asked;
    bool is_open = false;  // A question is under way.
    uint32_t misses = 0;   // In a row.
  };

  bool IsWanted(const base::HostName& host,
                const Watched& it,
                base::TimePoint now) const;

  Pace pace_;
  std::set<base::HostName> guarded_;
  std::map<base::HostName, Watched> watched_;
  base::TimePoint used_until_;  // Any of them.
  base::TimePoint latest_;      // When hosts that are due were last taken.
};

}  // namespace bilberry::forward
