#pragma once

#include <optional>
#include <span>
#include <vector>

#include "LibBase/random.h"
#include "LibPolicy/peer_load_view.h"
#include "LibPolicy/pool_endpoint.h"

namespace bilberry::policy {

// Power of two choices (Mitzenmacher, 2001): draws two endpoints with room at
// random and takes the one with the lower expected latency. Endpoints of the
// own zone are preferred while they have room. Work that shares a prompt prefix
// goes to the same endpoint, within a load bound.
class TwoChoices {
 public:
  // Groups the endpoints into own zone and other zones.
  void SetEndpoints(std::span<const PoolEndpoint> endpoints,
                    const base::ZoneName& own_zone);

  // An index into `endpoints`; empty when no endpoint has room. An endpoint
  // that has failed this work already is chosen only when no other has room.
  std::optional<size_t> Choose(std::span<const PoolEndpoint> endpoints,
                               const PeerLoadView& peers,
                               const Work& work,
                               base::TimePoint now,
                               base::Random& random) const;

 private:
  struct Selection {
    std::span<const PoolEndpoint> endpoints;
    const PeerLoadView& peers;
    const Work& work;
    base::TimePoint now;
    base::Random& random;
  };

  using Indices = std::vector<size_t>;

  static bool IsUsable(const Selection& selection, size_t index);
  static std::optional<size_t> ChooseIn(const Indices& zone,
                                        const Selection& selection);
  static std::optional<size_t> Draw(const Indices& zone,
                                    const Selection& selection,
                                    std::optional<size_t> other);
  static size_t LessLoaded(const Selection& selection, size_t a, size_t b);

  Indices own_zone_;
  Indices other_zones_;
};

}  // namespace bilberry::policy
