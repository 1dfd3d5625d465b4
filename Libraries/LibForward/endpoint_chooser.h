#pragma once

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/forward_endpoint.h"
#include "LibForward/quiet_times.h"

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

// The pool has no endpoint that may be given work.
struct NoEndpointServes {};

// All that may be given work want to be left alone until then.
struct EndpointsQuiet {
  base::TimePoint until;
};

using EndpointChoice =
    std::variant<ListedEndpoint, EndpointsQuiet, NoEndpointServes>;

// Chooses the endpoint that runs a request itself, from what this host has in
// flight, how its own requests ended, and what endpoints asked of it.
class EndpointChooser {
 public:
  // `quiet_times` must outlive the chooser.
  EndpointChooser(uint64_t seed, const QuietTimes& quiet_times)
      : random_(seed), quiet_times_(quiet_times) {}

  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  EndpointChoice Choose(const EndpointWish& wish, base::TimePoint now);
  // From when on one of the pool's endpoints may be sent something; empty if
  // none serves.
  std::optional<base::TimePoint> OpenFrom(const base::PoolName& pool) const;

  void NoteBegun(const base::EndpointName& name, base::TimePoint now);
  // The endpoint's quiet time is over: what has waited for it comes one by one.
  void NoteQuietEnded(const base::EndpointName& name, base::TimePoint now);
  void NoteEnded(const base::EndpointName& name,
                 EndpointVerdict verdict,
                 base::TimePoint now);

 private:
  struct Endpoint {
    ListedEndpoint listed;
    uint32_t in_flight = 0;
    uint32_t failures = 0;  // In a row.
    base::TimePoint rests_until;
    // After a quiet time requests begin at intervals.
    base::TimePoint spaced_until;
    base::TimePoint next_begin;
  };

  // A zone whose endpoints can't be reached, one after the other.
  struct Zone {
    uint32_t unreachable = 0;  // In a row.
    base::TimePoint rests_until;
  };

  using Candidates = std::vector<const Endpoint*>;

  // From when on the endpoint may be sent something.
  base::TimePoint OpenFrom(const Endpoint& endpoint) const;
  // The same of the first of them.
  base::TimePoint FirstOpen(const Candidates& candidates) const;
  bool IsRested(const Endpoint& endpoint, base::TimePoint now) const;
  void NoteUnreachable(Endpoint& endpoint, base::TimePoint now);
  // Those that the request may go to, now or later.
  Candidates Eligible(const EndpointWish& wish) const;
  // Rested ones if there are any.
  Candidates PreferRested(const Candidates& candidates,
                          base::TimePoint now) const;
  const Endpoint& LeastLoaded(const Candidates& candidates);
  static const Endpoint& BestFor(std::string_view affinity,
                                 const Candidates& candidates);

  base::Random random_;
  const QuietTimes& quiet_times_;
  std::map<base::EndpointName, Endpoint> endpoints_;
  std::map<base::ZoneName, Zone> zones_;
};

}  // namespace bilberry::forward
