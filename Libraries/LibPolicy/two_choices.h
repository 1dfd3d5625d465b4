#pragma once

#include <optional>
#include <span>
#include <vector>

#include "LibBase/random.h"
#include "LibPolicy/peer_load_view.h"
#include "LibPolicy/pool_endpoint.h"

namespace bilberry::policy {

// Draws two endpoints with room and takes the one that is expected to be done
// first (Mitzenmacher, 2001). Own zone first, until it has no room. Work that
// shares a prompt prefix goes where that prefix was, within bounds.
class TwoChoices {
 public:
  // Takes on changed endpoints.
  void SetEndpoints(std::span<const PoolEndpoint> slots,
                    const base::ZoneName& own_zone);

  // An index into `slots`; empty when none has room. An endpoint that has
  // failed this work is taken only when no other has room.
  std::optional<size_t> Choose(std::span<const PoolEndpoint> slots,
                               const PeerLoadView& peers,
                               const Work& work,
                               base::TimePoint now,
                               base::Random& random) const;

 private:
  struct Question {
    std::span<const PoolEndpoint> slots;
    const PeerLoadView& peers;
    const Work& work;
    base::TimePoint now;
    base::Random& random;
  };

  using Indices = std::vector<size_t>;

  static bool IsUsable(const Question& question, size_t index);
  static std::optional<size_t> ChooseIn(const Indices& zone,
                                        const Question& question);
  static std::optional<size_t> Draw(const Indices& zone,
                                    const Question& question,
                                    std::optional<size_t> other);
  static size_t Better(const Question& question, size_t a, size_t b);

  Indices near_;
  Indices far_;
};

}  // namespace bilberry::policy
