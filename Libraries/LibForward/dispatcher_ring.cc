#include "LibForward/dispatcher_ring.h"

#include <algorithm>
#include <utility>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

DispatcherRing::DispatcherRing(PeerHost own)
    : own_(std::move(own)), hosts_{own_} {}

void DispatcherRing::SetHosts(std::span<const PeerHost> hosts) {
  hosts_ = {own_};
  for (const PeerHost& it : hosts) {
    if (!IsOwn(it))
      hosts_.push_back(it);
  }
}

const PeerHost& DispatcherRing::DispatcherOf(const base::PoolName& pool) const {
  return BestOf(pool, silent_);
}

const PeerHost& DispatcherRing::IdealDispatcherOf(
    const base::PoolName& pool) const {
  return BestOf(pool, {});
}

const PeerHost& DispatcherRing::BestOf(
    const base::PoolName& pool,
    const std::set<base::HostName>& passed_over) const {
  const PeerHost* best = &own_;
  double best_weight = -1;
  for (const PeerHost& it : hosts_) {
    if (passed_over.contains(it.name))
      continue;
    const double weight =
        WeightedRendezvous(pool.value, it.name.value, it.capacity);
    if (weight > best_weight) {
      best = &it;
      best_weight = weight;
    }
  }
  return *best;
}

const PeerHost* DispatcherRing::Find(const base::HostName& name) const {
  const auto it = std::ranges::find(hosts_, name, &PeerHost::name);
  return it == hosts_.end() ? nullptr : &*it;
}

}  // namespace bilberry::forward
