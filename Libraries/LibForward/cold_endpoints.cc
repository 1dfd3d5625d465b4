#include "LibForward/cold_endpoints.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bilberry::forward {

namespace {

// Behind the cold time the pace is doubled at each of these steps; at the last
// one the bound falls away.
constexpr std::chrono::milliseconds kStep{500};
constexpr uint32_t kSteps = 4;
// Left of the bound for what begins at the edges of a second, by two hosts that
// grant, and for what dispatchers order beside their calls.
constexpr double kEdges = 1.5;
// However narrow the bound, an endpoint gets this part of what it bears.
constexpr double kLeastPart = 0.25;
constexpr size_t kMostEntries = 2000;
// No endpoint is cold for longer, whatever it says.
constexpr std::chrono::minutes kLongestCold{10};

}  // namespace

double ColdRatePerHost(double per_second, const ColdRateBound& bound) {
  const double allowed = per_second * bound.over + bound.slack;
  return std::min(per_second,
                  std::max(allowed / 2 - kEdges, per_second * kLeastPart));
}

base::TimePoint ColdEndpoints::Entry::NextStep() const {
  return std::max(cold_until, kept_cold_until) + kStep * steps;
}

void ColdEndpoints::SetPaces(std::map<base::PoolName, double> paces) {
  paces_ = std::move(paces);
  ++changes_;
}

// Entries may be heard before what their pools bear.
double ColdEndpoints::PaceOf(const Entry& entry) const {
  if (entry.pool.value.empty())
    return entry.told_per_second;
  const auto it = paces_.find(entry.pool);
  return it == paces_.end() ? 0 : it->second;
}

ColdEndpoints::Entry* ColdEndpoints::Enter(const base::EndpointName& name,
                                           base::Incarnation incarnation) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) {
    if (entries_.size() >= kMostEntries)
      return nullptr;
    Entry& entry = entries_[name];
    entry.incarnation = incarnation;
    entry.steps = kSteps;
    return &entry;
  }
  Entry& known = it->second;
  if (known.incarnation > incarnation)
    return nullptr;
  // Another life knows nothing of before.
  if (known.incarnation != incarnation) {
    known = Entry();
    known.incarnation = incarnation;
    known.steps = kSteps;
  }
  return &known;
}

void ColdEndpoints::TakeSteps(Entry& entry, base::TimePoint now) {
  const base::TimePoint end = std::max(entry.cold_until, entry.kept_cold_until);
  uint32_t steps = 0;
  while (steps < kSteps && end + kStep * steps <= now)
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
  Entry* entry = Enter(endpoint.name, endpoint.incarnation);
  if (entry == nullptr)
    return false;
  entry->pool = endpoint.pool;
  // That it isn't cold any more begins its steps, and doesn't put them off.
  if (left > base::Duration(0) || entry->cold_until > now)
    entry->cold_until =
        now + std::clamp<base::Duration>(left, base::Duration(0), kLongestCold);
  TakeSteps(*entry, now);
  return !was_cold && entry->steps == 0 && PaceOf(*entry) > 0;
}

void ColdEndpoints::NoteByPeer(const base::EndpointName& name,
                               base::Incarnation incarnation,
                               const ColdReport& word,
                               base::TimePoint now) {
  Entry* entry = Enter(name, incarnation);
  if (entry == nullptr)
    return;
  entry->told_per_second = word.per_second;
  const base::TimePoint until =
      now + std::min<base::Duration>(word.left, kLongestCold);
  entry->kept_cold_until = std::max(entry->kept_cold_until, until);
  TakeSteps(*entry, now);
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
  if (entry == nullptr || entry->cold_until <= now || PaceOf(*entry) <= 0)
    return std::nullopt;
  return ColdReport{PaceOf(*entry), entry->cold_until - now};
}

std::optional<double> ColdEndpoints::RateOf(
    const base::EndpointName& name,
    base::Incarnation incarnation) const {
  const Entry* entry = Find(name, incarnation);
  if (entry == nullptr || entry->steps >= kSteps || PaceOf(*entry) <= 0)
    return std::nullopt;
  return PaceOf(*entry) * static_cast<double>(1U << entry->steps);
}

std::vector<base::EndpointName> ColdEndpoints::TakeWarm(base::TimePoint now) {
  std::vector<base::EndpointName> warm;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    TakeSteps(entry, now);
    if (entry.steps < kSteps) {
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
