#include "LibForward/endpoint_chooser.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "LibForward/rendezvous.h"

namespace bilberry::forward {

namespace {

// An endpoint that several requests would share may have this many times the
// mean in flight, and a few more, before the next one by weight is taken.
constexpr double kLoadBound = 1.5;
constexpr double kLoadSlack = 3;
constexpr std::chrono::milliseconds kFirstRest{250};
constexpr std::chrono::milliseconds kLongestRest{8000};
// One failure may be the request's own.
constexpr EjectionPolicy kFailedPace{kFirstRest, kLongestRest, 2};
constexpr EjectionPolicy kUnreachablePace{kFirstRest, kLongestRest, 1};
// How long one that refused gets none.
constexpr std::chrono::milliseconds kRefusedRest{50};
// For so long after a quiet time an endpoint gets requests at these intervals.
constexpr std::chrono::milliseconds kSpacedTime{1000};
constexpr std::chrono::milliseconds kSpacing{20};
// So many endpoints of one zone in a row that can't be reached are the zone's
// fault.
constexpr uint32_t kUnreachableToRest = 2;

std::chrono::milliseconds RestAfter(uint32_t doublings) {
  return std::min(kFirstRest * (int64_t{1} << std::min(doublings, 8U)),
                  kLongestRest);
}

}  // namespace

std::string_view ToText(AttemptOutcome verdict) {
  switch (verdict) {
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
  seen_limits_.reset();
}

bool EndpointChooser::IsRested(const Endpoint& endpoint,
                               base::TimePoint now) const {
  if (conditions_.failures.EjectedUntil(endpoint.listed.name) > now ||
      conditions_.backoffs.IsQuietForPeers(endpoint.listed.name,
                                           endpoint.listed.incarnation, now))
    return false;
  const auto it = zones_.find(endpoint.listed.zone);
  if (it == zones_.end() || it->second.unreachable < kUnreachableToRest)
    return true;
  if (it->second.rests_until > now)
    return false;
  // One request at a time finds out whether the zone is back.
  return std::ranges::none_of(endpoints_, [&endpoint](const auto& other) {
    return other.second.listed.zone == endpoint.listed.zone &&
           other.second.in_flight > 0;
  });
}

void EndpointChooser::NoteUnreachable(const ListedEndpoint& endpoint,
                                      base::TimePoint now) {
  conditions_.failures.NoteFailed(endpoint.name, kUnreachablePace, now);
  Zone& zone = zones_[endpoint.zone];
  ++zone.unreachable;
  if (zone.unreachable >= kUnreachableToRest)
    zone.rests_until = now + RestAfter(zone.unreachable - kUnreachableToRest);
}

base::TimePoint EndpointChooser::OpenFrom(const Endpoint& endpoint) const {
  return std::max(conditions_.backoffs.EndOf(endpoint.listed.name),
                  endpoint.next_begin);
}

EndpointChooser::Candidates EndpointChooser::Eligible(
    const EndpointCriteria& wish) const {
  Candidates eligible;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.listed.pool == wish.pool &&
        endpoint.listed.state == EndpointState::kServing &&
        std::ranges::find(wish.avoided, name) == wish.avoided.end())
      eligible.push_back(&endpoint);
  }
  return eligible;
}

EndpointChooser::Candidates EndpointChooser::PreferRested(
    const Candidates& candidates,
    base::TimePoint now) const {
  Candidates rested;
  for (const Endpoint* it : candidates) {
    if (IsRested(*it, now))
      rested.push_back(it);
  }
  // One that failed lately may still serve; none at all surely doesn't.
  return rested.empty() ? candidates : rested;
}

void EndpointChooser::TakeLimits() {
  if (seen_limits_ == conditions_.rate_changes())
    return;
  seen_limits_ = conditions_.rate_changes();
  for (auto& [name, endpoint] : endpoints_) {
    const base::Incarnation life = endpoint.listed.incarnation;
    endpoint.has_limit = conditions_.RateOf(name, life).has_value();
    endpoint.is_cold = endpoint.has_limit &&
                       !conditions_.limits.RateOf(name, life).has_value();
  }
}

bool EndpointChooser::IsTakenBesideOthers(const Endpoint& endpoint,
                                          const EndpointCriteria& wish) {
  if (endpoint.is_cold)
    return wish.may_use_cold;
  return !endpoint.has_limit || !wish.affinity.empty();
}

base::TimePoint EndpointChooser::OpenFrom(const Endpoint& endpoint,
                                          base::Duration longest_wait) const {
  const base::TimePoint open = OpenFrom(endpoint);
  if (!endpoint.has_limit)
    return open;
  return std::max(
      {open, endpoint.no_permits_until, endpoint.next_permit - longest_wait});
}

base::TimePoint EndpointChooser::FirstOpen(const Candidates& candidates,
                                           base::Duration longest_wait) const {
  base::TimePoint first = base::TimePoint::max();
  for (const Endpoint* it : candidates)
    first = std::min(first, OpenFrom(*it, longest_wait));
  return first;
}

EndpointChooser::Candidates EndpointChooser::OpenOf(
    const Candidates& candidates,
    base::Duration longest_wait,
    base::TimePoint now) const {
  Candidates open;
  std::ranges::copy_if(
      candidates, std::back_inserter(open),
      [&](const Endpoint* it) { return OpenFrom(*it, longest_wait) <= now; });
  return open;
}

std::optional<base::TimePoint> EndpointChooser::OpenFrom(
    const base::PoolName& pool) const {
  EndpointCriteria wish;
  wish.pool = pool;
  const Candidates eligible = Eligible(wish);
  if (eligible.empty())
    return std::nullopt;
  return FirstOpen(eligible, base::Duration(0));
}

bool EndpointChooser::IsOpen(const ListedEndpoint& endpoint,
                             base::TimePoint now) const {
  const auto it = endpoints_.find(endpoint.name);
  return it != endpoints_.end() &&
         it->second.listed.state == EndpointState::kServing &&
         it->second.listed.incarnation == endpoint.incarnation &&
         OpenFrom(it->second) <= now;
}

// Endpoints without a limit go first. One with a limit is waited for only if
// all have one, and is taken beside the others only for what it shares with
// earlier requests. A cold one is taken beside them by requests that can bear
// it.
EndpointChoice EndpointChooser::Choose(const EndpointCriteria& wish,
                                       base::TimePoint now) {
  TakeLimits();
  const Candidates eligible = Eligible(wish);
  if (eligible.empty())
    return NoEndpointAvailable{};
  Candidates open = OpenOf(eligible, base::Duration(0), now);
  const bool has_unlimited = std::ranges::any_of(
      open, [](const Endpoint* it) { return !it->has_limit; });
  const base::Duration longest_wait =
      has_unlimited ? base::Duration(0) : wish.longest_wait;
  if (!has_unlimited)
    open = OpenOf(eligible, longest_wait, now);
  else
    std::erase_if(open, [&wish](const Endpoint* it) {
      return !IsTakenBesideOthers(*it, wish);
    });
  if (open.empty())
    return NoEndpointUntil{FirstOpen(eligible, longest_wait)};
  const Candidates candidates = PreferRested(open, now);
  const Endpoint& chosen = wish.affinity.empty()
                               ? LeastLoaded(candidates)
                               : BestFor(wish.affinity, candidates);
  if (chosen.has_limit)
    return RateLimitedEndpoint{chosen.listed, longest_wait};
  return chosen.listed;
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
  // Ties are broken at random, so that hosts don't all take the same one.
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
  // The bound is above the mean, so that one is always below it.
  return best == nullptr ? *candidates.front() : *best;
}

void EndpointChooser::NoteBegun(const base::EndpointName& name,
                                base::TimePoint now) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end())
    return;
  Endpoint& endpoint = it->second;
  ++endpoint.in_flight;
  if (now < endpoint.spaced_until)
    endpoint.next_begin = now + kSpacing;
}

void EndpointChooser::NoteBackoffEnded(const base::EndpointName& name,
                                       base::TimePoint now) {
  const auto it = endpoints_.find(name);
  if (it != endpoints_.end())
    it->second.spaced_until = now + kSpacedTime;
}

void EndpointChooser::NoteEnded(const base::EndpointName& name,
                                AttemptOutcome verdict,
                                base::TimePoint now) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end())
    return;
  Endpoint& endpoint = it->second;
  if (endpoint.in_flight > 0)
    --endpoint.in_flight;
  switch (verdict) {
    case AttemptOutcome::kAnswered:
      conditions_.failures.NoteAnswered(name);
      zones_.erase(endpoint.listed.zone);
      return;
    case AttemptOutcome::kUnreachable:
      NoteUnreachable(endpoint.listed, now);
      return;
    case AttemptOutcome::kRefused:
      conditions_.failures.Rest(name, now + kRefusedRest);
      return;
    case AttemptOutcome::kFailed:
      conditions_.failures.NoteFailed(name, kFailedPace, now);
      return;
    case AttemptOutcome::kCancelled:
      return;
  }
}

}  // namespace bilberry::forward
