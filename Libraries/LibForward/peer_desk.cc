#include "LibForward/peer_desk.h"

#include <map>
#include <utility>

#include "LibForward/relay_desk.h"

namespace bilberry::forward {

void PeerDesk::SetPools(std::set<base::PoolName> pools) {
  ring_.SetPools(std::move(pools));
}

void PeerDesk::SetHosts(std::span<const PeerHost> hosts, base::TimePoint now) {
  ring_.SetHosts(hosts);
  watch_.SetFleetSize(ring_.host_count());
  FindNewsHosts();
  NoteChanged(now);
}

void PeerDesk::FindNewsHosts() {
  std::set<base::ZoneName> zones;
  for (const PeerHost& it : ring_.hosts())
    zones.insert(it.zone);
  std::map<base::HostName, PeerHost> found;
  for (const base::ZoneName& zone : zones) {
    for (PeerHost& it : RelaysOf(ring_.hosts(), zone))
      found.emplace(it.name, std::move(it));
  }
  found.erase(context_.options().own.name);
  news_hosts_.clear();
  for (auto& [name, host] : found)
    news_hosts_.push_back(std::move(host));
}

void PeerDesk::NoteChanged(base::TimePoint now) {
  changed_at_ = now;
  ++changes_;
}

void PeerDesk::GuardDispatchers(std::set<base::HostName> hosts) {
  dispatchers_ = std::move(hosts);
  GuardAll();
}

void PeerDesk::GuardKeepers(std::set<base::HostName> hosts) {
  if (hosts == keepers_)
    return;
  keepers_ = std::move(hosts);
  GuardAll();
}

void PeerDesk::GuardAll() {
  std::set<base::HostName> all = dispatchers_;
  all.insert(keepers_.begin(), keepers_.end());
  watch_.Guard(std::move(all));
}

void PeerDesk::NoteHeard(const base::HostName& host, base::TimePoint now) {
  watch_.NoteHeard(host, now);
  if (!ring_.IsSilent(host))
    return;
  ring_.NoteAnswer(host);
  NoteChanged(now);
  context_.Log(base::LogEventId::kDispatcherBack, "", {{"host", host.value}});
}

void PeerDesk::NoteSilent(const base::HostName& host,
                          const std::string& reason,
                          base::TimePoint now) {
  if (ring_.IsSilent(host))
    return;
  ring_.NoteSilent(host);
  NoteChanged(now);
  context_.Log(base::LogEventId::kDispatcherLost, "",
               {{"host", host.value}, {"reason", reason}});
}

SilenceVerdict PeerDesk::Handle(const PeerSilent& event, base::TimePoint now) {
  const SilenceVerdict verdict = watch_.NoteMissed(event.host, now);
  if (verdict != SilenceVerdict::kNone)
    NoteSilent(event.host, event.detail, now);
  return verdict;
}

void PeerDesk::AskPeers(base::TimePoint now) {
  for (const base::HostName& name : watch_.TakeDue(now)) {
    if (const PeerHost* host = ring_.Find(name))
      context_.Emit(
          AskWhetherAlive{name, host->address, watch_.pace().timeout});
    else
      watch_.Forget(name);
  }
}

}  // namespace bilberry::forward
