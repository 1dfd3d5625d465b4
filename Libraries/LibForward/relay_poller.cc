#include "LibForward/relay_poller.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "LibForward/host_sizes.h"
#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

// The store can take the calls of so many hosts that follow it by themselves.
constexpr size_t kMostFollowers = 24;
constexpr size_t kRelaysPerZone = 2;
// Between two questions. With the time between a relay's own calls, it bounds
// how old news is: an endpoint that leaves is noticed within half its notice.
constexpr std::chrono::milliseconds kInterval{600};
constexpr std::chrono::milliseconds kPauseAfterFailure{100};
// By so much longer at random, so that a relay isn't asked by all at once.
constexpr uint64_t kSpreadMilliseconds = 100;

bool IsSmallFleet(std::span<const PeerHost> hosts) {
  return hosts.size() <= kMostFollowers;
}

}  // namespace

std::vector<PeerHost> RelaysOf(std::span<const PeerHost> hosts,
                               const base::ZoneName& zone) {
  if (IsSmallFleet(hosts))
    return {hosts.begin(), hosts.end()};
  const HostSizes sizes(hosts);
  std::vector<std::tuple<HostTier, uint64_t, const PeerHost*>> ranked;
  for (const PeerHost& it : hosts)
    ranked.emplace_back(TierOf(sizes.IsLarge(it), it.zone == zone),
                        RendezvousWeight("relay/" + zone.value, it.name.value),
                        &it);
  std::ranges::sort(ranked);
  std::vector<PeerHost> relays;
  for (const auto& [tier, weight, host] :
       std::span(ranked).first(kRelaysPerZone))
    relays.push_back(*host);
  return relays;
}

void RelayPoller::SetHosts(std::span<const PeerHost> hosts) {
  relays_.clear();
  if (IsSmallFleet(hosts))
    return;
  std::vector<PeerHost> relays = RelaysOf(hosts, own_.zone);
  // Relays follow the store themselves.
  if (std::ranges::find(relays, own_.name, &PeerHost::name) != relays.end())
    return;
  relays_ = std::move(relays);
  turn_ = RendezvousWeight(own_.name.value, own_.zone.value) % relays_.size();
}

std::optional<PeerHost> RelayPoller::TakeDue(base::TimePoint now) {
  if (relays_.empty() || is_asking_ || now < due_)
    return std::nullopt;
  is_asking_ = true;
  return relays_[turn_ % relays_.size()];
}

void RelayPoller::NoteAnswered(base::TimePoint now) {
  is_asking_ = false;
  due_ = now + kInterval +
         std::chrono::milliseconds(random_.Below(kSpreadMilliseconds));
}

void RelayPoller::NoteFailed(base::TimePoint now) {
  is_asking_ = false;
  ++turn_;
  due_ = now + kPauseAfterFailure +
         std::chrono::milliseconds(random_.Below(kSpreadMilliseconds));
}

std::optional<base::TimePoint> RelayPoller::NextWakeup() const {
  if (relays_.empty() || is_asking_)
    return std::nullopt;
  return due_;
}

}  // namespace bilberry::forward
