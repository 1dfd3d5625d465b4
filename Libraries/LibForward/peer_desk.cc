#include "LibForward/peer_desk.h"

#include <utility>

namespace bilberry::forward {

void PeerDesk::SetPools(std::set<base::PoolName> pools) {
  ring_.SetPools(std::move(pools));
}

void PeerDesk::SetHosts(std::span<const PeerHost> hosts) {
  ring_.SetHosts(hosts);
  watch_.SetFleetSize(ring_.host_count());
}

void PeerDesk::NoteHeard(const base::HostName& host, base::TimePoint now) {
  watch_.NoteHeard(host, now);
  if (!ring_.IsSilent(host))
    return;
  ring_.NoteAnswer(host);
  context_.Log(base::LogEventId::kDispatcherBack, "", {{"host", host.value}});
}

void PeerDesk::NoteSilent(const base::HostName& host,
                          const std::string& reason) {
  if (ring_.IsSilent(host))
    return;
  ring_.NoteSilent(host);
  context_.Log(base::LogEventId::kDispatcherLost, "",
               {{"host", host.value}, {"reason", reason}});
}

SilenceVerdict PeerDesk::Handle(const PeerSilent& event, base::TimePoint now) {
  const SilenceVerdict verdict = watch_.NoteMissed(event.host, now);
  if (verdict != SilenceVerdict::kNone)
    NoteSilent(event.host, event.detail);
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
