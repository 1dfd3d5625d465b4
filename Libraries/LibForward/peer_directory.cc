#include "LibForward/peer_directory.h"

#include <algorithm>
#include <utility>

#include "LibForward/relay_poller.h"

namespace bilberry::forward {

void PeerDirectory::SetPools(std::set<base::PoolName> pools) {
  assignment_.SetPools(std::move(pools));
}

void PeerDirectory::SetHosts(std::span<const PeerHost> hosts,
                             base::TimePoint now) {
  assignment_.SetHosts(hosts);
  failure_detector_.SetFleetSize(assignment_.host_count());
  UpdateStoreSyncSources();
  NoteChanged(now);
}

void PeerDirectory::UpdateStoreSyncSources() {
  store_sync_sources_ = RelaysOfAllZones(assignment_.listed_hosts());
  std::ranges::sort(store_sync_sources_, {}, &PeerHost::name);
  is_store_sync_source_ =
      std::erase_if(store_sync_sources_, [this](const PeerHost& it) {
        return it.name == context_.options().own.name;
      }) > 0;
}

void PeerDirectory::NoteChanged(base::TimePoint now) {
  changed_at_ = now;
  ++changes_;
}

void PeerDirectory::MonitorDispatchers(std::set<base::HostName> hosts) {
  dispatchers_ = std::move(hosts);
  UpdateMonitoredHosts();
}

void PeerDirectory::MonitorLimitOwners(std::set<base::HostName> hosts) {
  if (hosts == limit_owners_)
    return;
  limit_owners_ = std::move(hosts);
  UpdateMonitoredHosts();
}

void PeerDirectory::UpdateMonitoredHosts() {
  std::set<base::HostName> all = dispatchers_;
  all.insert(limit_owners_.begin(), limit_owners_.end());
  failure_detector_.Monitor(std::move(all));
}

void PeerDirectory::NoteHeard(const base::HostName& host, base::TimePoint now) {
  failure_detector_.NoteHeard(host, now);
  if (!assignment_.IsSuspect(host))
    return;
  assignment_.ClearSuspect(host);
  NoteChanged(now);
  context_.Log(base::LogEventId::kDispatcherBack, "", {{"host", host.value}});
}

void PeerDirectory::MarkSuspect(const base::HostName& host,
                                const std::string& reason,
                                base::TimePoint now) {
  if (assignment_.IsSuspect(host))
    return;
  assignment_.MarkSuspect(host);
  NoteChanged(now);
  context_.Log(base::LogEventId::kDispatcherLost, "",
               {{"host", host.value}, {"reason", reason}});
}

ProbeVerdict PeerDirectory::Handle(const PeerProbeFailed& event,
                                   base::TimePoint now) {
  const ProbeVerdict verdict =
      failure_detector_.NoteProbeFailed(event.host, now);
  if (verdict != ProbeVerdict::kNone)
    MarkSuspect(event.host, event.detail, now);
  return verdict;
}

void PeerDirectory::SendProbes(base::TimePoint now) {
  for (const base::HostName& name : failure_detector_.TakeDueProbes(now)) {
    if (const PeerHost* host = assignment_.Find(name))
      context_.Emit(
          ProbePeer{name, host->address, failure_detector_.pace().timeout});
    else
      failure_detector_.Forget(name);
  }
}

}  // namespace bilberry::forward
