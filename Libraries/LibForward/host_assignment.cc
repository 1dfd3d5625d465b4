#include "LibForward/host_assignment.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

HostAssignment::HostAssignment(PeerHost own) : own_(std::move(own)) {
  SetHosts({});
}

void HostAssignment::SetHosts(std::span<const PeerHost> hosts) {
  hosts_ = {own_};
  for (const PeerHost& it : hosts) {
    if (!IsOwn(it))
      hosts_.push_back(it);
  }
  sizes_ = HostSizes(hosts_);
  ForgetDealt();
}

void HostAssignment::SetPools(std::set<base::PoolName> pools) {
  pools_ = std::move(pools);
  ForgetDealt();
}

void HostAssignment::MarkSuspect(const base::HostName& name) {
  if (silent_.insert(name).second)
    ForgetChosen();
}

void HostAssignment::ClearSuspect(const base::HostName& name) {
  if (silent_.erase(name) > 0)
    ForgetChosen();
}

void HostAssignment::ForgetChosen() {
  dealt_.clear();
  keepers_.clear();
}

void HostAssignment::ForgetDealt() {
  ForgetChosen();
  ideally_dealt_.clear();
}

const PeerHost& HostAssignment::DispatcherOf(const CellPool& at) const {
  return Choose(at, silent_, dealt_);
}

const PeerHost& HostAssignment::PreferredDispatcherOf(
    const CellPool& at) const {
  return Choose(at, {}, ideally_dealt_);
}

const PeerHost& HostAssignment::DispatcherSuccessorOf(
    const CellPool& at) const {
  const Dealt dealt = Deal(at.cell, {PreferredDispatcherOf(at).name});
  const auto it = dealt.find(at.pool);
  return it == dealt.end() ? own_ : hosts_[it->second];
}

const PeerHost& HostAssignment::Choose(
    const CellPool& at,
    const std::set<base::HostName>& passed_over,
    std::map<Cell, Dealt>& known) const {
  auto it = known.find(at.cell);
  if (it == known.end())
    it = known.emplace(at.cell, Deal(at.cell, passed_over)).first;
  const auto dealt = it->second.find(at.pool);
  return dealt == it->second.end() ? own_ : hosts_[dealt->second];
}

HostAssignment::Dealt HostAssignment::Deal(
    const Cell& cell,
    const std::set<base::HostName>& passed_over) const {
  Dealt dealt;
  std::vector<size_t> counts(hosts_.size(), 0);
  for (const base::PoolName& pool : pools_) {
    const size_t best = BestFor(cell.zone.value + "/" + pool.value, cell.zone,
                                passed_over, counts);
    ++counts[best];
    dealt[pool] = best;
  }
  return dealt;
}

// The own host if all others are passed over.
size_t HostAssignment::BestFor(const std::string& key,
                               const base::ZoneName& zone,
                               const std::set<base::HostName>& passed_over,
                               const std::vector<size_t>& tasks) const {
  using Rank = std::tuple<HostTier, size_t, double>;
  size_t best = 0;
  std::optional<Rank> best_rank;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    const PeerHost& host = hosts_[i];
    if (passed_over.contains(host.name))
      continue;
    const bool is_in_zone = zone.value.empty() || host.zone == zone;
    const Rank rank{TierOf(sizes_.IsLarge(host), is_in_zone), tasks[i],
                    -WeightedRendezvous(key, host.name.value, host.capacity)};
    if (!best_rank || rank < *best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

size_t HostAssignment::ChooseLimitOwner(
    const EndpointLimitKey& endpoint,
    const std::set<base::HostName>& passed_over) const {
  const std::vector<size_t> no_tasks(hosts_.size(), 0);
  return BestFor("limit/" + endpoint.name.value, endpoint.zone, passed_over,
                 no_tasks);
}

const PeerHost& HostAssignment::LimitOwnerOf(
    const EndpointLimitKey& endpoint) const {
  auto it = keepers_.find(endpoint.name);
  if (it == keepers_.end())
    it = keepers_.emplace(endpoint.name, ChooseLimitOwner(endpoint, silent_))
             .first;
  return hosts_[it->second];
}

const PeerHost& HostAssignment::PreferredLimitOwnerOf(
    const EndpointLimitKey& endpoint) const {
  return hosts_[ChooseLimitOwner(endpoint, {})];
}

const PeerHost& HostAssignment::LimitOwnerSuccessorOf(
    const EndpointLimitKey& endpoint) const {
  return hosts_[ChooseLimitOwner(endpoint,
                                 {PreferredLimitOwnerOf(endpoint).name})];
}

const PeerHost* HostAssignment::Find(const base::HostName& name) const {
  const auto it = std::ranges::find(hosts_, name, &PeerHost::name);
  return it == hosts_.end() ? nullptr : &*it;
}

}  // namespace bilberry::forward
