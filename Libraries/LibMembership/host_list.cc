#include "LibMembership/host_list.h"

namespace bilberry::membership {

using base::HostEntry;
using base::HostKind;
using base::HostState;

bool HostList::Apply(const base::HostsPolled& polled) {
  bool has_changed = false;
  for (const HostEntry& entry : polled.changed) {
    HostEntry next = entry;
    const auto it = entries_.find(entry.name);
    if (it != entries_.end() && it->second.incarnation == next.incarnation &&
        it->second.state == HostState::kLeaving &&
        next.state == HostState::kLive)
      next.state = HostState::kLeaving;
    if (it != entries_.end() && it->second == next)
      continue;
    entries_[entry.name] = std::move(next);
    has_changed = true;
  }
  version_ = polled.version;
  return has_changed;
}

bool HostList::MarkLeaving(const std::string& name,
                           base::Incarnation incarnation) {
  const auto it = entries_.find(name);
  if (it == entries_.end() || it->second.incarnation != incarnation ||
      it->second.state != HostState::kLive)
    return false;
  it->second.state = HostState::kLeaving;
  return true;
}

std::vector<HostEntry> HostList::LiveEndpoints(
    const base::PoolName& pool) const {
  std::vector<HostEntry> live;
  for (const auto& [name, entry] : entries_) {
    if (entry.kind == HostKind::kEndpoint && entry.state == HostState::kLive &&
        entry.pool == pool)
      live.push_back(entry);
  }
  return live;
}

std::vector<HostEntry> HostList::LiveEntryHosts() const {
  std::vector<HostEntry> live;
  for (const auto& [name, entry] : entries_) {
    if (entry.kind == HostKind::kEntryHost && entry.state == HostState::kLive)
      live.push_back(entry);
  }
  return live;
}

}  // namespace bilberry::membership
