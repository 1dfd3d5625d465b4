#include "LibForward/cold_endpoints.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bilberry::forward {

namespace {

// After the cold time the rate doubles at each of these steps; the last step
// lifts the limit.
constexpr std::chrono::milliseconds kStepInterval{500};
constexpr uint32_t kStepCount = 4;
// Part of the bound reserved for requests that begin at the edges of a second,
// with permits of two hosts that both act as the limit owner, and for the
// requests to free results that dispatchers send besides their calls.
constexpr double kReservedRequests = 1.5;
// However narrow the bound, an endpoint gets this fraction of the rate that it
// can handle.
constexpr double kMinRateFraction = 0.25;
constexpr size_t kMaxEntries = 2000;
// Upper bound on the cold time that an endpoint may state.
constexpr std::chrono::minutes kMaxColdTime{10};

}  // namespace

double ColdRatePerHost(double per_second, const ColdRateBound& bound) {
  const double allowed = per_second * bound.over + bound.slack;
  return std::min(per_second, std::max(allowed / 2 - kReservedRequests,
                                       per_second * kMinRateFraction));
}

base::TimePoint ColdEndpoints::Entry::NextStep() const {
  return std::max(cold_until, cold_until_by_peers) + kStepInterval * steps;
}

void ColdEndpoints::SetPoolRates(std::map<base::PoolName, double> rates) {
  rates_ = std::move(rates);
  ++changes_;
}

// Endpoints may be listed before the configuration names their pool's rate, so
// the rate is looked up on each use.
double ColdEndpoints::PoolRateOf(const Entry& entry) const {
  if (entry.pool.value.empty())
    return entry.peer_rate;
  const auto it = rates_.find(entry.pool);
  return it == rates_.end() ? 0 : it->second;
}

ColdEndpoints::Entry* ColdEndpoints::FindOrCreate(
    const base::EndpointName& name,
    base::Incarnation incarnation) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) {
    if (entries_.size() >= kMaxEntries)
      return nullptr;
    Entry& entry = entries_[name];
    entry.incarnation = incarnation;
    entry.steps = kStepCount;
    return &entry;
  }
  Entry& known = it->second;
  if (known.incarnation > incarnation)
    return nullptr;
  // A new incarnation shares no state with the previous one.
  if (known.incarnation != incarnation) {
    known = Entry();
    known.incarnation = incarnation;
    known.steps = kStepCount;
  }
  return &known;
}

void ColdEndpoints::UpdateStep(Entry& entry, base::TimePoint now) {
  const base::TimePoint end =
      std::max(entry.cold_until, entry.cold_until_by_peers);
  uint32_t steps = 0;
  while (steps < kStepCount && end + kStepInterval * steps <= now)
    ++steps;
  changes_ += steps == entry.steps ? 0 : 1;
  entry.steps = steps;
}

bool ColdEndpoints::Note(const ListedEndpoint& endpoint,
                         base::Duration left,
                         base::TimePoint now) {
  const Entry* known = Find(endpoint.name, endpoint.incarnation);
  if (left <= base::Duration(0) && known == nullptr)
    return false;
  const bool was_cold = known != nullptr && known->steps == 0;
  Entry* entry = FindOrCreate(endpoint.name, endpoint.incarnation);
  if (entry == nullptr)
    return false;
  entry->pool = endpoint.pool;
  // A statement that the endpoint is no longer cold starts its steps; repeating
  // that statement must not restart them.
  if (left > base::Duration(0) || entry->cold_until > now)
    entry->cold_until =
        now + std::clamp<base::Duration>(left, base::Duration(0), kMaxColdTime);
  UpdateStep(*entry, now);
  return !was_cold && entry->steps == 0 && PoolRateOf(*entry) > 0;
}

void ColdEndpoints::NoteByPeer(const base::EndpointName& name,
                               base::Incarnation incarnation,
                               const ColdReport& report,
                               base::TimePoint now) {
  Entry* entry = FindOrCreate(name, incarnation);
  if (entry == nullptr)
    return;
  entry->peer_rate = report.per_second;
  const base::TimePoint until =
      now + std::min<base::Duration>(report.left, kMaxColdTime);
  entry->cold_until_by_peers = std::max(entry->cold_until_by_peers, until);
  UpdateStep(*entry, now);
}

const ColdEndpoints::Entry* ColdEndpoints::Find(
    const base::EndpointName& name,
    base::Incarnation incarnation) const {
  const auto it = entries_.find(name);
  if (it == entries_.end() || it->second.incarnation != incarnation)
    return nullptr;
  return &it->second;
}

std::optional<ColdReport> ColdEndpoints::ReportOf(
    const base::EndpointName& name,
    base::Incarnation incarnation,
    base::TimePoint now) const {
  const Entry* entry = Find(name, incarnation);
  if (entry == nullptr || entry->cold_until <= now || PoolRateOf(*entry) <= 0)
    return std::nullopt;
  return ColdReport{PoolRateOf(*entry), entry->cold_until - now};
}

std::optional<double> ColdEndpoints::RateOf(
    const base::EndpointName& name,
    base::Incarnation incarnation) const {
  const Entry* entry = Find(name, incarnation);
  if (entry == nullptr || entry->steps >= kStepCount || PoolRateOf(*entry) <= 0)
    return std::nullopt;
  return PoolRateOf(*entry) * static_cast<double>(1U << entry->steps);
}

std::vector<base::EndpointName> ColdEndpoints::TakeWarmedUp(
    base::TimePoint now) {
  std::vector<base::EndpointName> warm;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    UpdateStep(entry, now);
    if (entry.steps < kStepCount) {
      ++it;
      continue;
    }
    warm.push_back(it->first);
    it = entries_.erase(it);
  }
  return warm;
}

std::optional<base::TimePoint> ColdEndpoints::NextStep() const {
  std::optional<base::TimePoint> next;
  for (const auto& [name, entry] : entries_) {
    if (!next || entry.NextStep() < *next)
      next = entry.NextStep();
  }
  return next;
}

}  // namespace bilberry::forward
