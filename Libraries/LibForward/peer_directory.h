#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibForward/forward_context.h"
#include "LibForward/forward_event.h"
#include "LibForward/host_assignment.h"
#include "LibForward/peer_failure_detector.h"

namespace bilberry::forward {

// The other hosts as far as this one relies on them: which of them works for
// others at what, and whether it is there.
class PeerDirectory {
 public:
  explicit PeerDirectory(ForwardContext& context)
      : context_(context), assignment_(context.options().own) {}

  const HostAssignment& assignment() const { return assignment_; }

  void SetPools(std::set<base::PoolName> pools);
  void SetHosts(std::span<const PeerHost> hosts, base::TimePoint now);
  // Whoever would follow a host that is gone is the one who finds out: the
  // dispatchers and the keepers of limits that this host would follow.
  void MonitorDispatchers(std::set<base::HostName> hosts);
  void MonitorLimitOwners(std::set<base::HostName> hosts);

  // The hosts from which all others have news: relays, or all in a small fleet;
  // without this one.
  const std::vector<PeerHost>& store_sync_sources() const {
    return news_hosts_;
  }

  // Something was asked of the host.
  void NoteUse(const base::HostName& host, base::TimePoint now) {
    watch_.NoteUse(host, now);
  }
  // An answer of any kind.
  void NoteHeard(const base::HostName& host, base::TimePoint now);
  // It can't be reached; what is new is asked of others.
  void MarkSuspect(const base::HostName& host,
                   const std::string& reason,
                   base::TimePoint now);
  ProbeVerdict Handle(const PeerProbeFailed& event, base::TimePoint now);

  // When who works for others at what may last have changed, and how often it
  // may have.
  base::TimePoint changed_at() const { return changed_at_; }
  uint64_t changes() const { return changes_; }

  // Asks those who are due whether they are there.
  void SendProbes(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const {
    return watch_.NextWakeup();
  }

 private:
  void NoteChanged(base::TimePoint now);
  void GuardAll();
  void FindNewsHosts();

  ForwardContext& context_;
  HostAssignment assignment_;
  PeerFailureDetector watch_;
  std::set<base::HostName> dispatchers_;
  std::set<base::HostName> keepers_;
  std::vector<PeerHost> news_hosts_;
  base::TimePoint changed_at_;
  uint64_t changes_ = 0;
};

}  // namespace bilberry::forward
