#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "LibBase/random.h"
#include "LibForward/peer_directory.h"

namespace bilberry::forward {

// Chooses the peer that carries a request for this host, because this host
// can't reach the endpoints itself: one that is in touch and hasn't declined
// lately, with the fewest requests of this host for its size, in this host's
// zone rather than in another.
class CarrierChooser {
 public:
  // `peers` must outlive the chooser.
  CarrierChooser(const PeerDirectory& peers, PeerHost own, uint64_t seed)
      : peers_(peers), own_(std::move(own)), random_(seed) {}

  // Whether there is any peer to choose.
  bool HasAny(base::TimePoint now) const {
    return !CandidatesOf({}, now).empty();
  }
  // Returns one that isn't among `tried`; empty if there is none.
  std::optional<PeerHost> Choose(std::span<const base::HostName> tried,
                                 base::TimePoint now);

  void NoteBegun(const base::HostName& host) { ++in_flight_[host]; }
  void NoteEnded(const base::HostName& host);
  // The peer can't be reached, or can't carry requests at the moment.
  void NoteDeclined(const base::HostName& host, base::TimePoint now);

 private:
  std::vector<const PeerHost*> CandidatesOf(
      std::span<const base::HostName> tried,
      base::TimePoint now) const;
  // Requests of this host at the peer, with one more, for the peer's size.
  double LoadOf(const PeerHost& host) const;

  const PeerDirectory& peers_;
  PeerHost own_;
  base::Random random_;
  std::map<base::HostName, uint32_t> in_flight_;
  std::map<base::HostName, base::TimePoint> avoided_until_;
};

}  // namespace bilberry::forward
