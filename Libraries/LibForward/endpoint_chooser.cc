#include "LibForward/endpoint_chooser.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

// Bounded load for affinity: an endpoint may have this many times the mean of
// requests in flight, plus the slack, before the endpoint with the next highest
// rendezvous weight is taken.
constexpr double kLoadBound = 1.5;
constexpr double kLoadSlack = 3;
constexpr std::chrono::milliseconds kFirstEjection{250};
constexpr std::chrono::milliseconds kMaxEjection{8000};
// A single failure may be caused by the request itself.
constexpr EjectionPolicy kFailureEjection{kFirstEjection, kMaxEjection, 2};
constexpr EjectionPolicy kUnreachableEjection{kFirstEjection, kMaxEjection, 1};
// How long an endpoint that refused a request is avoided.
constexpr std::chrono::milliseconds kRefusalEjection{50};
// For this long after its backoff, an endpoint gets requests at these
// intervals.
constexpr std::chrono::milliseconds kRampUpTime{1000};
constexpr std::chrono::milliseconds kRampUpInterval{20};
// After this many consecutive connection failures in one zone, the zone itself
// is taken to be unreachable.
constexpr uint32_t kUnreachableToEject = 2;

std::chrono::milliseconds EjectionTime(uint32_t doublings) {
  return std::min(kFirstEjection * (int64_t{1} << std::min(doublings, 8U)),
                  kMaxEjection);
}

}  // namespace

std::string_view ToText(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "failed";
}

void EndpointChooser::SetEndpoints(std::span<const ListedEndpoint> endpoints) {
  std::map<base::EndpointName, Endpoint> present;
  for (const ListedEndpoint& listed : endpoints) {
    auto node = endpoints_.extract(listed.name);
    Endpoint& endpoint = present[listed.name];
    if (!node.empty())
      endpoint = std::move(node.mapped());
    endpoint.listed = listed;
  }
  endpoints_ = std::move(present);
  seen_rate_changes_.reset();
}

bool EndpointChooser::IsPreferred(const Endpoint& endpoint,
                                  base::TimePoint now) const {
  if (conditions_.ejector.EjectedUntil(endpoint.listed.name) > now ||
      conditions_.backoffs.IsBackingOffFromPeers(
          endpoint.listed.name, endpoint.listed.incarnation, now))
    return false;
  const auto it = zones_.find(endpoint.listed.zone);
  if (it == zones_.end() || it->second.unreachable < kUnreachableToEject)
    return true;
  if (it->second.ejected_until > now)
    return false;
  // A single probe request at a time finds out whether the zone is reachable
  // again (half-open circuit breaker).
  return std::ranges::none_of(endpoints_, [&endpoint](const auto& other) {
    return other.second.listed.zone == endpoint.listed.zone &&
           other.second.in_flight > 0;
  });
}

void EndpointChooser::NoteUnreachable(const ListedEndpoint& endpoint,
                                      base::TimePoint now) {
  conditions_.ejector.NoteFailed(endpoint.name, kUnreachableEjection, now);
  Zone& zone = zones_[endpoint.zone];
  ++zone.unreachable;
  if (zone.unreachable >= kUnreachableToEject)
    zone.ejected_until =
        now + EjectionTime(zone.unreachable - kUnreachableToEject);
}

base::TimePoint EndpointChooser::AvailableFrom(const Endpoint& endpoint) const {
  return std::max(conditions_.backoffs.EndOf(endpoint.listed.name),
                  endpoint.next_begin);
}

EndpointChooser::Candidates EndpointChooser::Eligible(
    const EndpointCriteria& criteria) const {
  Candidates eligible;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.listed.pool == criteria.pool &&
        endpoint.listed.state == EndpointState::kServing &&
        std::ranges::find(criteria.avoided, name) == criteria.avoided.end() &&
        (!criteria.software_version ||
         endpoint.listed.software_version == *criteria.software_version))
      eligible.push_back(&endpoint);
  }
  return eligible;
}

EndpointChooser::Candidates EndpointChooser::KeepPreferred(
    const Candidates& candidates,
    base::TimePoint now) const {
  Candidates preferred;
  for (const Endpoint* it : candidates) {
    if (IsPreferred(*it, now))
      preferred.push_back(it);
  }
  // An ejected endpoint may still answer, whereas an empty list of candidates
  // fails the request for certain.
  return preferred.empty() ? candidates : preferred;
}

void EndpointChooser::UpdateLimits() {
  if (seen_rate_changes_ == conditions_.rate_changes())
    return;
  seen_rate_changes_ = conditions_.rate_changes();
  for (auto& [name, endpoint] : endpoints_) {
    const base::Incarnation incarnation = endpoint.listed.incarnation;
    endpoint.has_limit = conditions_.RateOf(name, incarnation).has_value();
    endpoint.is_cold =
        endpoint.has_limit &&
        !conditions_.limits.RateOf(name, incarnation).has_value();
  }
}

bool EndpointChooser::IsCandidateBesideUnlimited(
    const Endpoint& endpoint,
    const EndpointCriteria& criteria) {
  if (endpoint.is_cold)
    return criteria.may_use_cold;
  return !endpoint.has_limit || !criteria.affinity.empty();
}

base::TimePoint EndpointChooser::AvailableFrom(
    const Endpoint& endpoint,
    base::Duration longest_wait) const {
  const base::TimePoint available = AvailableFrom(endpoint);
  if (!endpoint.has_limit)
    return available;
  return std::max({available, endpoint.no_permits_until,
                   endpoint.next_permit - longest_wait});
}

base::TimePoint EndpointChooser::FirstAvailable(
    const Candidates& candidates,
    base::Duration longest_wait) const {
  base::TimePoint first = base::TimePoint::max();
  for (const Endpoint* it : candidates)
    first = std::min(first, AvailableFrom(*it, longest_wait));
  return first;
}

EndpointChooser::Candidates EndpointChooser::AvailableOf(
    const Candidates& candidates,
    base::Duration longest_wait,
    base::TimePoint now) const {
  Candidates available;
  std::ranges::copy_if(candidates, std::back_inserter(available),
                       [&](const Endpoint* it) {
                         return AvailableFrom(*it, longest_wait) <= now;
                       });
  return available;
}

std::optional<base::TimePoint> EndpointChooser::AvailableFrom(
    const base::PoolName& pool) const {
  EndpointCriteria criteria;
  criteria.pool = pool;
  const Candidates eligible = Eligible(criteria);
  if (eligible.empty())
    return std::nullopt;
  return FirstAvailable(eligible, base::Duration(0));
}

bool EndpointChooser::IsAvailable(const ListedEndpoint& endpoint,
                                  base::TimePoint now) const {
  const auto it = endpoints_.find(endpoint.name);
  return it != endpoints_.end() &&
         it->second.listed.state == EndpointState::kServing &&
         it->second.listed.incarnation == endpoint.incarnation &&
         AvailableFrom(it->second) <= now;
}

bool EndpointChooser::IsPlacementCandidate(const Endpoint& endpoint,
                                           base::TimePoint now) const {
  return endpoint.listed.state == EndpointState::kServing &&
         !endpoint.has_limit && AvailableFrom(endpoint) <= now &&
         IsPreferred(endpoint, now);
}

std::vector<base::EndpointName> EndpointChooser::PlacementCandidates(
    const PlacementDomain& domain,
    base::TimePoint now) {
  UpdateLimits();
  std::vector<base::EndpointName> names;
  for (const auto& [name, endpoint] : endpoints_) {
    const ListedEndpoint& listed = endpoint.listed;
    if (listed.pool == domain.pool && listed.zone == domain.zone &&
        IsPlacementCandidate(endpoint, now))
      names.push_back(name);
  }
  return names;
}

// A zone's capacity counts all of its serving endpoints, so that sessions keep
// their zones while some endpoints are avoided for a short time.
std::vector<ZoneCapacity> EndpointChooser::PlacementZonesOf(
    const base::PoolName& pool,
    base::TimePoint now) {
  UpdateLimits();
  std::map<base::ZoneName, uint32_t> serving;
  std::set<base::ZoneName> usable;
  for (const auto& [name, endpoint] : endpoints_) {
    const ListedEndpoint& listed = endpoint.listed;
    if (listed.pool != pool || listed.state != EndpointState::kServing)
      continue;
    ++serving[listed.zone];
    if (IsPlacementCandidate(endpoint, now))
      usable.insert(listed.zone);
  }
  std::vector<ZoneCapacity> zones;
  zones.reserve(usable.size());
  for (const base::ZoneName& zone : usable)
    zones.push_back({zone, serving[zone]});
  return zones;
}

std::optional<ListedEndpoint> EndpointChooser::FindPlaced(const Placed& placed,
                                                          base::TimePoint now) {
  UpdateLimits();
  const auto it = endpoints_.find(placed.endpoint);
  if (it == endpoints_.end() ||
      it->second.listed.incarnation != placed.incarnation ||
      !IsPlacementCandidate(it->second, now))
    return std::nullopt;
  return it->second.listed;
}

// Endpoints without a rate limit are preferred. A rate-limited endpoint is
// waited for only if all endpoints are rate-limited. Beside unlimited ones it
// is a candidate only for requests with an affinity, and a cold one only for
// requests that tolerate a slow answer.
EndpointChoice EndpointChooser::Choose(const EndpointCriteria& criteria,
                                       base::TimePoint now) {
  UpdateLimits();
  const Candidates eligible = Eligible(criteria);
  if (eligible.empty())
    return NoEndpointAvailable{};
  Candidates available = AvailableOf(eligible, base::Duration(0), now);
  const bool has_unlimited = std::ranges::any_of(
      available, [](const Endpoint* it) { return !it->has_limit; });
  const base::Duration longest_wait =
      has_unlimited ? base::Duration(0) : criteria.longest_wait;
  if (!has_unlimited)
    available = AvailableOf(eligible, longest_wait, now);
  else
    std::erase_if(available, [&criteria](const Endpoint* it) {
      return !IsCandidateBesideUnlimited(*it, criteria);
    });
  if (available.empty())
    return NoEndpointUntil{FirstAvailable(eligible, longest_wait)};
  Candidates candidates = KeepPreferred(available, now);
  if (criteria.is_suspect)
    candidates = KeepFewestSuspects(candidates);
  const Endpoint& chosen = criteria.affinity.empty() || criteria.is_suspect
                               ? LeastLoaded(candidates)
                               : BestFor(criteria.affinity, candidates);
  if (chosen.has_limit)
    return RateLimitedEndpoint{chosen.listed, longest_wait};
  return chosen.listed;
}

EndpointChooser::Candidates EndpointChooser::KeepFewestSuspects(
    const Candidates& candidates) {
  const Endpoint* const fewest = *std::ranges::min_element(
      candidates, {},
      [](const Endpoint* it) { return it->suspects_in_flight; });
  Candidates kept;
  std::ranges::copy_if(
      candidates, std::back_inserter(kept), [fewest](const Endpoint* it) {
        return it->suspects_in_flight == fewest->suspects_in_flight;
      });
  return kept;
}

void EndpointChooser::NoteNextPermit(const base::EndpointName& name,
                                     base::TimePoint begins) {
  const auto it = endpoints_.find(name);
  if (it != endpoints_.end())
    it->second.next_permit = begins;
}

void EndpointChooser::NoteNoPermits(const base::EndpointName& name,
                                    base::TimePoint until) {
  const auto it = endpoints_.find(name);
  if (it != endpoints_.end())
    it->second.no_permits_until = until;
}

const EndpointChooser::Endpoint& EndpointChooser::LeastLoaded(
    const Candidates& candidates) {
  // Ties are broken at random, so that hosts don't all choose the same
  // endpoint.
  const size_t first = random_.Below(candidates.size());
  const Endpoint* best = candidates[first];
  for (size_t i = 1; i < candidates.size(); ++i) {
    const Endpoint* it = candidates[(first + i) % candidates.size()];
    if (it->in_flight < best->in_flight)
      best = it;
  }
  return *best;
}

const EndpointChooser::Endpoint& EndpointChooser::BestFor(
    std::string_view affinity,
    const Candidates& candidates) {
  double in_flight = 1;
  for (const Endpoint* it : candidates)
    in_flight += it->in_flight;
  const double bound =
      kLoadBound * in_flight / static_cast<double>(candidates.size()) +
      kLoadSlack;
  const Endpoint* best = nullptr;
  uint64_t best_weight = 0;
  for (const Endpoint* it : candidates) {
    if (it->in_flight + 1 > bound)
      continue;
    const uint64_t weight = RendezvousWeight(affinity, it->listed.name.value);
    if (best == nullptr || weight > best_weight) {
      best = it;
      best_weight = weight;
    }
  }
  // The bound is above the mean, so at least one candidate is below it; the
  // fallback is never reached.
  return best == nullptr ? *candidates.front() : *best;
}

void EndpointChooser::NoteBegun(const base::EndpointName& name,
                                bool is_suspect,
                                base::TimePoint now) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end())
    return;
  Endpoint& endpoint = it->second;
  ++endpoint.in_flight;
  if (is_suspect)
    ++endpoint.suspects_in_flight;
  if (now < endpoint.ramp_up_until)
    endpoint.next_begin = now + kRampUpInterval;
}

void EndpointChooser::NoteBackoffEnded(const base::EndpointName& name,
                                       base::TimePoint now) {
  const auto it = endpoints_.find(name);
  if (it != endpoints_.end())
    it->second.ramp_up_until = now + kRampUpTime;
}

void EndpointChooser::NoteEnded(const base::EndpointName& name,
                                AttemptOutcome outcome,
                                bool was_suspect,
                                base::TimePoint now) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end())
    return;
  Endpoint& endpoint = it->second;
  if (endpoint.in_flight > 0)
    --endpoint.in_flight;
  if (was_suspect && endpoint.suspects_in_flight > 0)
    --endpoint.suspects_in_flight;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      conditions_.ejector.NoteAnswered(name);
      zones_.erase(endpoint.listed.zone);
      return;
    case AttemptOutcome::kUnreachable:
      NoteUnreachable(endpoint.listed, now);
      return;
    case AttemptOutcome::kRefused:
      conditions_.ejector.EjectUntil(name, now + kRefusalEjection);
      return;
    case AttemptOutcome::kFailed:
      conditions_.ejector.NoteFailed(name, kFailureEjection, now);
      return;
    case AttemptOutcome::kCancelled:
      return;
  }
}

}  // namespace bilberry::forward
