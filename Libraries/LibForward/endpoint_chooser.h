#pragma once

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/endpoint_conditions.h"
#include "LibForward/forward_endpoint.h"

namespace bilberry::forward {

// How a request to an endpoint ended, for the choices that follow.
enum class AttemptOutcome {
  kAnswered,
  kRefused,  // Not run; the endpoint is full or leaving.
  kFailed,
  kUnreachable,  // No connection could be made.
  kCancelled,    // By us; says nothing about the endpoint.
};

std::string_view ToText(AttemptOutcome verdict);

struct EndpointCriteria {
  base::PoolName pool;
  // Names what requests share; those that share it go to one endpoint while
  // that has room. Empty when there is nothing to share.
  std::string_view affinity;
  // Endpoints that have had this request already.
  std::span<const base::EndpointName> avoided;
  // Whether it may go to a cold endpoint though there are others.
  bool may_use_cold = false;
  // How long it may wait for a permit.
  base::Duration longest_wait{};
};

// The pool has no endpoint that may be given work.
struct NoEndpointAvailable {};

// All that may be given work want to be left alone, or give no permit in time,
// until then.
struct NoEndpointUntil {
  base::TimePoint until;
};

// One with a limit: the request may go there with a permit, for which it should
// wait no longer.
struct RateLimitedEndpoint {
  ListedEndpoint listed;
  base::Duration longest_wait{};
};

using EndpointChoice = std::variant<ListedEndpoint,
                                    RateLimitedEndpoint,
                                    NoEndpointUntil,
                                    NoEndpointAvailable>;

// Chooses the endpoint that runs a request itself, from what this host has in
// flight, how its own requests ended, and what endpoints asked of it.
class EndpointChooser {
 public:
  // `words` must outlive the chooser.
  EndpointChooser(uint64_t seed, EndpointConditions& conditions)
      : random_(seed), conditions_(conditions) {}

  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  EndpointChoice Choose(const EndpointCriteria& wish, base::TimePoint now);
  // From when on one of the pool's endpoints may be sent something; empty if
  // none serves.
  std::optional<base::TimePoint> OpenFrom(const base::PoolName& pool) const;
  // Whether this life of the endpoint may be sent something now, apart from its
  // limit.
  bool IsOpen(const ListedEndpoint& endpoint, base::TimePoint now) const;
  // The endpoint's next permit begins then.
  void NoteNextPermit(const base::EndpointName& name, base::TimePoint begins);
  // Its permits can't be asked for until then.
  void NoteNoPermits(const base::EndpointName& name, base::TimePoint until);

  void NoteBegun(const base::EndpointName& name, base::TimePoint now);
  // The endpoint's quiet time is over: what has waited for it comes one by one.
  void NoteBackoffEnded(const base::EndpointName& name, base::TimePoint now);
  void NoteEnded(const base::EndpointName& name,
                 AttemptOutcome verdict,
                 base::TimePoint now);

 private:
  struct Endpoint {
    ListedEndpoint listed;
    bool has_limit = false;
    bool is_cold = false;  // Its limit goes by that alone.
    uint32_t in_flight = 0;
    // After a quiet time requests begin at intervals.
    base::TimePoint spaced_until;
    base::TimePoint next_begin;
    base::TimePoint next_permit;
    base::TimePoint no_permits_until;
  };

  // A zone whose endpoints can't be reached, one after the other.
  struct Zone {
    uint32_t unreachable = 0;  // In a row.
    base::TimePoint rests_until;
  };

  using Candidates = std::vector<const Endpoint*>;

  // Takes on which endpoints have a limit, if that has changed.
  void TakeLimits();
  // Whether the endpoint is of use though there are some without a limit.
  static bool IsTakenBesideOthers(const Endpoint& endpoint,
                                  const EndpointCriteria& wish);
  // From when on the endpoint may be sent something, apart from its limit.
  base::TimePoint OpenFrom(const Endpoint& endpoint) const;
  // The same by one who waits so long for a permit.
  base::TimePoint OpenFrom(const Endpoint& endpoint,
                           base::Duration longest_wait) const;
  // The same of the first of them.
  base::TimePoint FirstOpen(const Candidates& candidates,
                            base::Duration longest_wait) const;
  Candidates OpenOf(const Candidates& candidates,
                    base::Duration longest_wait,
                    base::TimePoint now) const;
  bool IsRested(const Endpoint& endpoint, base::TimePoint now) const;
  void NoteUnreachable(const ListedEndpoint& endpoint, base::TimePoint now);
  // Those that the request may go to, now or later.
  Candidates Eligible(const EndpointCriteria& wish) const;
  // Rested ones if there are any.
  Candidates PreferRested(const Candidates& candidates,
                          base::TimePoint now) const;
  const Endpoint& LeastLoaded(const Candidates& candidates);
  static const Endpoint& BestFor(std::string_view affinity,
                                 const Candidates& candidates);

  base::Random random_;
  EndpointConditions& conditions_;
  std::map<base::EndpointName, Endpoint> endpoints_;
  std::map<base::ZoneName, Zone> zones_;
  std::optional<uint64_t> seen_limits_;  // Empty: endpoints have changed.
};

}  // namespace bilberry::forward
