#include "LibForward/relay_poller.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "LibForward/host_sizes.h"
#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

// Up to this many hosts the store can serve each host directly.
constexpr size_t kMaxFollowers = 24;
constexpr size_t kRelaysPerZone = 2;
// Polling interval. Together with the interval of the relay's own calls it
// bounds the age of the information: an endpoint that leaves is noticed within
// half of its notice period.
constexpr std::chrono::milliseconds kPollInterval{600};
constexpr std::chrono::milliseconds kRetryDelay{100};
// Interval of a host that follows the store itself and is answered: it only
// looks for changes that the store's answers did not bring.
constexpr std::chrono::milliseconds kCheckInterval{1000};
// After this many outdated answers in a row, most hosts probably don't reach
// the store, and further polls are no longer made in quick succession.
constexpr size_t kQuickRetries = 4;
// Random jitter added to each delay, so that the hosts don't poll a relay all
// at once.
constexpr uint64_t kSpreadMilliseconds = 100;

bool IsSmallFleet(std::span<const PeerHost> hosts) {
  return hosts.size() <= kMaxFollowers;
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

std::vector<PeerHost> RelaysOfAllZones(std::span<const PeerHost> hosts) {
  std::set<base::ZoneName> zones;
  for (const PeerHost& it : hosts)
    zones.insert(it.zone);
  std::set<base::HostName> seen;
  std::vector<PeerHost> relays;
  for (const base::ZoneName& zone : zones) {
    for (PeerHost& it : RelaysOf(hosts, zone)) {
      if (seen.insert(it.name).second)
        relays.push_back(std::move(it));
    }
  }
  return relays;
}

void RelayPoller::SetHosts(std::span<const PeerHost> hosts) {
  peers_.clear();
  std::ranges::copy_if(
      hosts, std::back_inserter(peers_),
      [this](const PeerHost& it) { return it.name != own_.name; });
  relays_.clear();
  other_relays_.clear();
  if (IsSmallFleet(hosts))
    return;
  std::vector<PeerHost> relays = RelaysOf(hosts, own_.zone);
  // Relays follow the store themselves.
  if (std::ranges::find(relays, own_.name, &PeerHost::name) != relays.end()) {
    other_relays_ = RelaysOfAllZones(hosts);
    std::erase_if(other_relays_,
                  [this](const PeerHost& it) { return it.name == own_.name; });
    return;
  }
  relays_ = std::move(relays);
  relay_index_ =
      RendezvousWeight(own_.name.value, own_.zone.value) % relays_.size();
}

std::optional<PeerHost> RelayPoller::TakeDue(base::TimePoint now) {
  if (peers_.empty() || is_polling_ || now < next_poll_)
    return std::nullopt;
  is_polling_ = true;
  if (misses_ < relays_.size())
    return relays_[relay_index_ % relays_.size()];
  const bool is_relays_turn = ++poll_count_ % 2 == 1;
  const std::vector<PeerHost>& drawn_from =
      is_relays_turn && !other_relays_.empty() ? other_relays_ : peers_;
  return drawn_from[random_.Below(drawn_from.size())];
}

void RelayPoller::PollAfter(base::Duration delay, base::TimePoint now) {
  is_polling_ = false;
  next_poll_ = now + delay +
               std::chrono::milliseconds(random_.Below(kSpreadMilliseconds));
}

void RelayPoller::NoteAnswered(base::TimePoint now, bool is_outdated) {
  if (!is_outdated) {
    misses_ = 0;
    PollAfter(
        has_relays() || is_store_failing_ ? kPollInterval : kCheckInterval,
        now);
    return;
  }
  ++relay_index_;
  ++misses_;
  PollAfter(misses_ <= kQuickRetries ? kRetryDelay : kPollInterval, now);
}

void RelayPoller::NoteFailed(base::TimePoint now) {
  ++relay_index_;
  ++misses_;
  PollAfter(kRetryDelay, now);
}

void RelayPoller::SetStoreFailing(bool is_failing, base::TimePoint now) {
  if (std::exchange(is_store_failing_, is_failing) || !is_failing)
    return;
  next_poll_ = std::min(
      next_poll_,
      now + std::chrono::milliseconds(random_.Below(kSpreadMilliseconds)));
}

std::optional<base::TimePoint> RelayPoller::NextWakeup() const {
  if (peers_.empty() || is_polling_)
    return std::nullopt;
  return next_poll_;
}

}  // namespace bilberry::forward
