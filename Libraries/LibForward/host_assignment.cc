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
  is_listed_ = false;
  for (const PeerHost& it : hosts) {
    if (!IsOwn(it)) {
      hosts_.push_back(it);
    } else if (it.address == own_.address) {
      hosts_.front() = it;
      is_listed_ = true;
    }
  }
  sizes_ = HostSizes(listed_hosts());
  ClearCaches();
}

void HostAssignment::SetPools(std::set<base::PoolName> pools) {
  pools_ = std::move(pools);
  ClearCaches();
}

void HostAssignment::MarkSuspect(const base::HostName& name) {
  if (suspects_.insert(name).second)
    ClearCurrentCaches();
}

void HostAssignment::ClearSuspect(const base::HostName& name) {
  if (suspects_.erase(name) > 0)
    ClearCurrentCaches();
}

void HostAssignment::ClearCurrentCaches() {
  dispatchers_.clear();
  limit_owners_.clear();
  placement_owners_.clear();
}

void HostAssignment::ClearCaches() {
  ClearCurrentCaches();
  preferred_dispatchers_.clear();
}

const PeerHost& HostAssignment::DispatcherOf(const CellPool& at) const {
  return Choose(at, suspects_, dispatchers_);
}

const PeerHost& HostAssignment::PreferredDispatcherOf(
    const CellPool& at) const {
  return Choose(at, {}, preferred_dispatchers_);
}

const PeerHost& HostAssignment::DispatcherSuccessorOf(
    const CellPool& at) const {
  const PoolDispatchers assigned =
      AssignPools(at.cell, {PreferredDispatcherOf(at).name});
  const auto it = assigned.find(at.pool);
  return it == assigned.end() ? own_ : hosts_[it->second];
}

const PeerHost& HostAssignment::Choose(
    const CellPool& at,
    const std::set<base::HostName>& excluded,
    std::map<Cell, PoolDispatchers>& cache) const {
  auto it = cache.find(at.cell);
  if (it == cache.end())
    it = cache.emplace(at.cell, AssignPools(at.cell, excluded)).first;
  const auto assigned = it->second.find(at.pool);
  return assigned == it->second.end() ? own_ : hosts_[assigned->second];
}

HostAssignment::PoolDispatchers HostAssignment::AssignPools(
    const Cell& cell,
    const std::set<base::HostName>& excluded) const {
  PoolDispatchers assigned;
  std::vector<size_t> counts(hosts_.size(), 0);
  for (const base::PoolName& pool : pools_) {
    const size_t best = BestFor(cell.zone.value + "/" + pool.value, cell.zone,
                                excluded, counts);
    ++counts[best];
    assigned[pool] = best;
  }
  return assigned;
}

// Returns the index of this host if all others are excluded.
size_t HostAssignment::BestFor(const std::string& key,
                               const base::ZoneName& zone,
                               const std::set<base::HostName>& excluded,
                               const std::vector<size_t>& tasks) const {
  using Rank = std::tuple<HostTier, size_t, double>;
  size_t best = 0;
  std::optional<Rank> best_rank;
  for (size_t i = FirstListed(); i < hosts_.size(); ++i) {
    const PeerHost& host = hosts_[i];
    if (excluded.contains(host.name))
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
    const std::set<base::HostName>& excluded) const {
  const std::vector<size_t> no_tasks(hosts_.size(), 0);
  return BestFor("limit/" + endpoint.name.value, endpoint.zone, excluded,
                 no_tasks);
}

const PeerHost& HostAssignment::LimitOwnerOf(
    const EndpointLimitKey& endpoint) const {
  auto it = limit_owners_.find(endpoint.name);
  if (it == limit_owners_.end())
    it = limit_owners_
             .emplace(endpoint.name, ChooseLimitOwner(endpoint, suspects_))
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

const PeerHost& HostAssignment::PlacementOwnerOf(
    const PlacementDomain& domain) const {
  auto it = placement_owners_.find(domain);
  if (it == placement_owners_.end()) {
    const std::vector<size_t> no_tasks(hosts_.size(), 0);
    const std::string key =
        "placement/" + domain.zone.value + "/" + domain.pool.value;
    it = placement_owners_
             .emplace(domain, BestFor(key, domain.zone, suspects_, no_tasks))
             .first;
  }
  return hosts_[it->second];
}

const PeerHost* HostAssignment::Find(const base::HostName& name) const {
  const auto it = std::ranges::find(hosts_, name, &PeerHost::name);
  return it == hosts_.end() ? nullptr : &*it;
}

}  // namespace bilberry::forward
