#include "LibForward/dispatcher_ring.h"

#include <algorithm>
#include <utility>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

constexpr std::chrono::milliseconds kFirstDoubt{500};
constexpr std::chrono::milliseconds kLongestDoubt{8000};

}  // namespace

DispatcherRing::DispatcherRing(PeerHost own)
    : own_(std::move(own)), hosts_{own_} {}

void DispatcherRing::SetHosts(std::span<const PeerHost> hosts) {
  hosts_ = {own_};
  for (const PeerHost& it : hosts) {
    if (!IsOwn(it))
      hosts_.push_back(it);
  }
}

const PeerHost& DispatcherRing::DispatcherOf(const base::PoolName& pool,
                                             base::TimePoint now) const {
  const PeerHost* best = &own_;
  double best_weight = -1;
  for (const PeerHost& it : hosts_) {
    const auto doubt = doubts_.find(it.name);
    if (doubt != doubts_.end() && doubt->second.until > now)
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

void DispatcherRing::NoteFailure(const base::HostName& name,
                                 base::TimePoint now) {
  Doubt& doubt = doubts_[name];
  // Calls that failed together are one failure.
  if (doubt.until > now)
    return;
  const auto length =
      kFirstDoubt * (int64_t{1} << std::min(doubt.failures, 8U));
  doubt.until = now + std::min(length, kLongestDoubt);
  ++doubt.failures;
}

void DispatcherRing::NoteAnswer(const base::HostName& name) {
  doubts_.erase(name);
}

}  // namespace bilberry::forward
