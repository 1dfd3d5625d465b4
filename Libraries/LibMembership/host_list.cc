#include "LibMembership/host_list.h"

#include <algorithm>
#include <utility>

namespace bilberry::membership {

using base::HostEntry;
using base::HostKind;
using base::HostState;

namespace {

bool IsLiveEndpoint(const HostEntry& entry) {
  return entry.kind == HostKind::kEndpoint && entry.state == HostState::kLive;
}

}  // namespace

bool HostList::Apply(const base::HostsPolled& polled) {
  const bool is_complete_list = version_ == 0 || polled.version < version_;
  // Hosts that had left before this host's first list are known to its peers
  // already.
  const MarkPropagation propagation =
      is_complete_list ? MarkPropagation::kStoreOnly : MarkPropagation::kGossip;
  Entries next = is_complete_list ? Entries() : entries_;
  for (const HostEntry& entry : polled.changed)
    AddEntry(entry, propagation, next);
  version_ = polled.version;
  const bool has_changed = next != entries_;
  entries_ = std::move(next);
  return has_changed;
}

bool HostList::LearnFromPeer(const std::vector<HostEntry>& entries) {
  if (version_ != 0)
    return false;
  Entries next;
  for (const HostEntry& entry : entries)
    AddEntry(entry, MarkPropagation::kStoreOnly, next);
  const bool has_changed = next != entries_;
  entries_ = std::move(next);
  return has_changed;
}

std::vector<HostEntry> HostList::All() const {
  std::vector<HostEntry> all;
  for (const auto& [name, entry] : entries_)
    all.push_back(entry);
  return all;
}

bool HostList::HasLiveEndpoint() const {
  return std::ranges::any_of(
      entries_, [](const auto& it) { return IsLiveEndpoint(it.second); });
}

bool HostList::HasLiveEndpoint(const base::PoolName& pool) const {
  return std::ranges::any_of(entries_, [&pool](const auto& it) {
    return IsLiveEndpoint(it.second) && it.second.pool == pool;
  });
}

void HostList::AddEntry(const HostEntry& entry,
                        MarkPropagation propagation,
                        Entries& entries) {
  if (entry.state != HostState::kLive)
    marks_.Add({entry.name, entry.incarnation}, propagation);
  const bool is_leaving = marks_.Has(entry.name, entry.incarnation);
  const auto present = entries_.find(entry.name);
  // The row is stale: its incarnation has left, and another one is known.
  if (is_leaving && present != entries_.end() &&
      present->second.incarnation != entry.incarnation) {
    entries[entry.name] = present->second;
    return;
  }
  if (entry.state == HostState::kGone) {
    entries.erase(entry.name);
    return;
  }
  HostEntry& row = entries[entry.name];
  row = entry;
  if (is_leaving)
    row.state = HostState::kLeaving;
}

bool HostList::MarkLeaving(const std::string& name,
                           base::Incarnation incarnation) {
  if (!marks_.Add({name, incarnation}, MarkPropagation::kGossip))
    return false;
  const auto it = entries_.find(name);
  if (it != entries_.end() && it->second.incarnation == incarnation)
    it->second.state = HostState::kLeaving;
  return true;
}

const HostEntry* HostList::Find(const std::string& name) const {
  const auto it = entries_.find(name);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<HostEntry> HostList::LiveEndpoints(
    const base::PoolName& pool) const {
  std::vector<HostEntry> live;
  for (const auto& [name, entry] : entries_) {
    if (IsLiveEndpoint(entry) && entry.pool == pool)
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
