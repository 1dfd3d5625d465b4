#include "LibForward/carrier_chooser.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// How long a peer isn't asked again after it has declined.
constexpr std::chrono::milliseconds kDeclinedTime{1000};
// A peer in another zone is chosen if those of the own zone have this many
// times its load.
constexpr double kOtherZoneFactor = 2;

}  // namespace

double CarrierChooser::LoadOf(const PeerHost& host) const {
  const auto it = in_flight_.find(host.name);
  const double n = it == in_flight_.end() ? 1 : 1 + it->second;
  const double load = n / host.capacity;
  return host.zone == own_.zone ? load : load * kOtherZoneFactor;
}

std::vector<const PeerHost*> CarrierChooser::CandidatesOf(
    std::span<const base::HostName> tried,
    base::TimePoint now) const {
  std::vector<const PeerHost*> candidates;
  for (const PeerHost& it : peers_.assignment().listed_hosts()) {
    const auto avoided = avoided_until_.find(it.name);
    const bool is_avoided =
        avoided != avoided_until_.end() && now < avoided->second;
    if (it.name != own_.name && !is_avoided &&
        !peers_.assignment().IsSuspect(it.name) &&
        std::ranges::find(tried, it.name) == tried.end())
      candidates.push_back(&it);
  }
  return candidates;
}

std::optional<PeerHost> CarrierChooser::Choose(
    std::span<const base::HostName> tried,
    base::TimePoint now) {
  std::vector<const PeerHost*> candidates = CandidatesOf(tried, now);
  if (candidates.empty())
    return std::nullopt;
  // Ties are broken at random, so that hosts don't all choose the same peer.
  const size_t first = random_.Below(candidates.size());
  std::rotate(candidates.begin(),
              candidates.begin() + static_cast<ptrdiff_t>(first),
              candidates.end());
  return **std::ranges::min_element(
      candidates, {}, [this](const PeerHost* it) { return LoadOf(*it); });
}

void CarrierChooser::NoteEnded(const base::HostName& host) {
  const auto it = in_flight_.find(host);
  if (it != in_flight_.end() && --it->second == 0)
    in_flight_.erase(it);
}

void CarrierChooser::NoteDeclined(const base::HostName& host,
                                  base::TimePoint now) {
  std::erase_if(avoided_until_,
                [now](const auto& it) { return it.second <= now; });
  avoided_until_[host] = now + kDeclinedTime;
}

}  // namespace bilberry::forward
