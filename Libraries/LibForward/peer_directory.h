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

// The other hosts: which of them does which task for others, and whether each
// of them can be reached.
class PeerDirectory {
 public:
  explicit PeerDirectory(ForwardContext& context)
      : context_(context), assignment_(context.options().own) {}

  const HostAssignment& assignment() const { return assignment_; }

  void SetPools(std::set<base::PoolName> pools);
  void SetHosts(std::span<const PeerHost> hosts, base::TimePoint now);
  // Sets the hosts to probe even when this host sends them nothing: the
  // dispatchers and the owners of rate limits whose successor this host is. The
  // successor has to detect the failure.
  void MonitorDispatchers(std::set<base::HostName> hosts);
  void MonitorLimitOwners(std::set<base::HostName> hosts);

  // The hosts from which all others fetch updates: the relays, or every host in
  // a small fleet. Without this host.
  const std::vector<PeerHost>& store_sync_sources() const {
    return store_sync_sources_;
  }

  // Whether this host is one of them.
  bool is_store_sync_source() const { return is_store_sync_source_; }

  // Records that something was requested from the host.
  void NoteUse(const base::HostName& host, base::TimePoint now) {
    failure_detector_.NoteUse(host, now);
  }
  // Records an answer of any kind.
  void NoteHeard(const base::HostName& host, base::TimePoint now);
  // Records that the host can't be reached; new work goes to others.
  void MarkSuspect(const base::HostName& host,
                   const std::string& reason,
                   base::TimePoint now);
  ProbeVerdict Handle(const PeerProbeFailed& event, base::TimePoint now);

  // When the hosts' tasks may last have changed, and how often they may have
  // changed so far.
  base::TimePoint changed_at() const { return changed_at_; }
  uint64_t changes() const { return changes_; }

  // Probes the hosts whose probe is due.
  void SendProbes(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const {
    return failure_detector_.NextWakeup();
  }

 private:
  void NoteChanged(base::TimePoint now);
  void UpdateMonitoredHosts();
  void UpdateStoreSyncSources();

  ForwardContext& context_;
  HostAssignment assignment_;
  PeerFailureDetector failure_detector_;
  std::set<base::HostName> dispatchers_;
  std::set<base::HostName> limit_owners_;
  std::vector<PeerHost> store_sync_sources_;
  bool is_store_sync_source_ = false;
  base::TimePoint changed_at_;
  uint64_t changes_ = 0;
};

}  // namespace bilberry::forward
