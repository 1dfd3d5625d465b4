#pragma once

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// How a request to an endpoint ended, for the choices that follow.
enum class EndpointVerdict {
  kAnswered,
  kRefused,  // Not run; the endpoint is full or leaving.
  kFailed,
  kUnreachable,  // No connection could be made.
  kCancelled,    // By us; says nothing about the endpoint.
};

std::string_view ToText(EndpointVerdict verdict);

struct EndpointWish {
  base::PoolName pool;
  // Names what requests share; those that share it go to one endpoint while
  // that has room. Empty when there is nothing to share.
  std::string_view affinity;
  // Endpoints that have had this request already.
  std::span<const base::EndpointName> avoided;
};

// Chooses the endpoint that runs a request itself, from what this host has in
// flight and how its own requests ended.
class EndpointChooser {
 public:
  explicit EndpointChooser(uint64_t seed) : random_(seed) {}

  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  // Empty when the pool has no endpoint that may be given work.
  std::optional<ListedEndpoint> Choose(const EndpointWish& wish,
                                       base::TimePoint now);

  void NoteBegun(const base::EndpointName& name);
  void NoteEnded(const base::EndpointName& name,
                 EndpointVerdict verdict,
                 base::TimePoint now);

  bool HasServing(const base::PoolName& pool) const;

 private:
  struct Endpoint {
    ListedEndpoint listed;
    uint32_t in_flight = 0;
    uint32_t failures = 0;  // In a row.
    base::TimePoint rests_until;
  };

  // A zone whose endpoints can't be reached, one after the other.
  struct Zone {
    uint32_t unreachable = 0;  // In a row.
    base::TimePoint rests_until;
  };

  using Candidates = std::vector<const Endpoint*>;

  bool IsRested(const Endpoint& endpoint, base::TimePoint now) const;
  void NoteUnreachable(Endpoint& endpoint, base::TimePoint now);
  Candidates Usable(const EndpointWish& wish, base::TimePoint now) const;
  const Endpoint& LeastLoaded(const Candidates& candidates);
  static const Endpoint& BestFor(std::string_view affinity,
                                 const Candidates& candidates);

  base::Random random_;
  std::map<base::EndpointName, Endpoint> endpoints_;
  std::map<base::ZoneName, Zone> zones_;
};

}  // namespace bilberry::forward
