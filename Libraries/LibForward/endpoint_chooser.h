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
#include "LibForward/placement.h"
#include "LibForward/placement_zones.h"

namespace bilberry::forward {

// How an attempt at an endpoint ended; influences later choices.
enum class AttemptOutcome {
  kAnswered,
  kRefused,  // Not executed; the endpoint is full or leaving.
  kFailed,
  kUnreachable,  // No connection could be established.
  kCancelled,    // Cancelled by this host; says nothing about the endpoint.
};

std::string_view ToText(AttemptOutcome outcome);

struct EndpointCriteria {
  base::PoolName pool;
  // Key shared by requests that profit from the same endpoint, such as a prompt
  // prefix; they go to one endpoint while it has capacity. Empty if nothing is
  // shared.
  std::string_view affinity;
  // Endpoints at which this request was already attempted.
  std::span<const base::EndpointName> avoided;
  // Software version at which the request's stream began; empty if it may begin
  // at any.
  std::optional<std::string_view> software_version = std::nullopt;
  // Whether a cold endpoint may be chosen although others are available.
  bool may_use_cold = false;
  // Whether the request may crash endpoints, so that it is kept apart from
  // other such requests: the next crash then tells which of them it was.
  bool is_suspect = false;
  // Longest acceptable wait for a permit.
  base::Duration longest_wait{};
};

// The pool has no endpoint that accepts requests.
struct NoEndpointAvailable {};

// Every eligible endpoint has asked for a backoff, or has no permit within the
// longest wait, until this time.
struct NoEndpointUntil {
  base::TimePoint until;
};

// An endpoint with a rate limit: the request needs a permit, for which it
// should wait no longer than `longest_wait`.
struct RateLimitedEndpoint {
  ListedEndpoint listed;
  base::Duration longest_wait{};
};

using EndpointChoice = std::variant<ListedEndpoint,
                                    RateLimitedEndpoint,
                                    NoEndpointUntil,
                                    NoEndpointAvailable>;

// Chooses the endpoint of the final pool that runs a request, by this host's
// requests in flight, the outcomes of its earlier attempts, and the backoff
// periods and limits that endpoints have announced.
class EndpointChooser {
 public:
  // `conditions` must outlive the chooser.
  EndpointChooser(uint64_t seed, EndpointConditions& conditions)
      : random_(seed), conditions_(conditions) {}

  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  EndpointChoice Choose(const EndpointCriteria& criteria, base::TimePoint now);
  // Returns the earliest time at which an endpoint of the pool accepts a
  // request; empty if the pool has no serving endpoint.
  std::optional<base::TimePoint> AvailableFrom(
      const base::PoolName& pool) const;
  // Whether this incarnation of the endpoint accepts requests now, ignoring its
  // rate limit.
  bool IsAvailable(const ListedEndpoint& endpoint, base::TimePoint now) const;
  // Returns the domain's endpoints at which requests may be placed: those that
  // accept requests, have no rate limit, aren't cold and aren't avoided after
  // failures.
  std::vector<base::EndpointName> PlacementCandidates(
      const PlacementDomain& domain,
      base::TimePoint now);
  // Returns the zones in which requests of the pool may be placed.
  std::vector<ZoneCapacity> PlacementZonesOf(const base::PoolName& pool,
                                             base::TimePoint now);
  // Returns the endpoint at which a request was placed; empty if that
  // incarnation is not a candidate now.
  std::optional<ListedEndpoint> FindPlaced(const Placed& placed,
                                           base::TimePoint now);
  // Records that the limit's owner grants no permit for this endpoint before
  // `begins`.
  void NoteNextPermit(const base::EndpointName& name, base::TimePoint begins);
  // Records that permits for this endpoint can't be requested before `until`,
  // for example because the owner of its limit did not answer.
  void NoteNoPermits(const base::EndpointName& name, base::TimePoint until);

  void NoteBegun(const base::EndpointName& name,
                 bool is_suspect,
                 base::TimePoint now);
  // Records that the endpoint's backoff is over. Its requests are spaced out
  // for some time, so that those which waited don't arrive at once.
  void NoteBackoffEnded(const base::EndpointName& name, base::TimePoint now);
  void NoteEnded(const base::EndpointName& name,
                 AttemptOutcome outcome,
                 bool was_suspect,
                 base::TimePoint now);

 private:
  struct Endpoint {
    ListedEndpoint listed;
    bool has_limit = false;
    bool is_cold = false;  // The limit comes from being cold only.
    uint32_t in_flight = 0;
    uint32_t suspects_in_flight = 0;
    // Until then, requests are spaced out after a backoff.
    base::TimePoint ramp_up_until;
    base::TimePoint next_begin;
    base::TimePoint next_permit;
    base::TimePoint no_permits_until;
  };

  // Consecutive connection failures of a zone's endpoints.
  struct Zone {
    uint32_t unreachable = 0;  // Consecutive failures, at any endpoint.
    base::TimePoint ejected_until;
  };

  using Candidates = std::vector<const Endpoint*>;

  // Updates which endpoints have a rate limit, if any rate has changed.
  void UpdateLimits();
  // Whether the endpoint is a candidate although endpoints without a rate limit
  // are available.
  static bool IsCandidateBesideUnlimited(const Endpoint& endpoint,
                                         const EndpointCriteria& criteria);
  // Returns when the endpoint accepts a request, ignoring its rate limit.
  base::TimePoint AvailableFrom(const Endpoint& endpoint) const;
  // Returns when the endpoint accepts a request that waits up to `longest_wait`
  // for a permit.
  base::TimePoint AvailableFrom(const Endpoint& endpoint,
                                base::Duration longest_wait) const;
  // Returns the earliest such time among the candidates.
  base::TimePoint FirstAvailable(const Candidates& candidates,
                                 base::Duration longest_wait) const;
  Candidates AvailableOf(const Candidates& candidates,
                         base::Duration longest_wait,
                         base::TimePoint now) const;
  bool IsPreferred(const Endpoint& endpoint, base::TimePoint now) const;
  // Requires up-to-date limits.
  bool IsPlacementCandidate(const Endpoint& endpoint,
                            base::TimePoint now) const;
  void NoteUnreachable(const ListedEndpoint& endpoint, base::TimePoint now);
  // Returns the endpoints to which the request may be sent, now or later.
  Candidates Eligible(const EndpointCriteria& criteria) const;
  // Returns the candidates that aren't ejected and haven't asked peers for a
  // backoff, or all candidates if there are none.
  Candidates KeepPreferred(const Candidates& candidates,
                           base::TimePoint now) const;
  // Returns the candidates with the fewest suspects in flight.
  static Candidates KeepFewestSuspects(const Candidates& candidates);
  const Endpoint& LeastLoaded(const Candidates& candidates);
  static const Endpoint& BestFor(std::string_view affinity,
                                 const Candidates& candidates);

  base::Random random_;
  EndpointConditions& conditions_;
  std::map<base::EndpointName, Endpoint> endpoints_;
  std::map<base::ZoneName, Zone> zones_;
  // Empty if the endpoints have changed since.
  std::optional<uint64_t> seen_rate_changes_;
};

}  // namespace bilberry::forward
