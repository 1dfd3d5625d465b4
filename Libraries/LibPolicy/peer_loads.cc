#include "LibPolicy/peer_loads.h"

#include <algorithm>

namespace bilberry::policy {

namespace {

constexpr std::chrono::seconds kStaleAfter{3};
// Hosts that all follow the last figure at once would swing together.
constexpr double kNewsWeight = 0.5;

}  // namespace

void PeerLoads::Note(const base::HostName& peer,
                     uint32_t in_flight,
                     base::TimePoint now) {
  const auto [it, is_new] = shares_.try_emplace(peer);
  Share& share = it->second;
  const double weight = is_new ? 1.0 : kNewsWeight;
  share.in_flight += weight * (in_flight - share.in_flight);
  share.heard = now;
  Recount(now);
}

void PeerLoads::Expire(base::TimePoint now) {
  if (now >= next_expiry_)
    Recount(now);
}

void PeerLoads::Recount(base::TimePoint now) {
  std::erase_if(shares_, [now](const auto& it) {
    return now - it.second.heard >= kStaleAfter;
  });
  in_flight_ = 0;
  next_expiry_ = base::TimePoint::max();
  for (const auto& [peer, share] : shares_) {
    in_flight_ += share.in_flight;
    next_expiry_ = std::min(next_expiry_, share.heard + kStaleAfter);
  }
}

}  // namespace bilberry::policy
