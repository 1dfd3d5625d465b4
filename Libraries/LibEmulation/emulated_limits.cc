#include "LibEmulation/emulated_limits.h"

#include <algorithm>
#include <chrono>

namespace bilberry::emulation {

namespace {

constexpr std::chrono::seconds kWindow{4};
constexpr double kMostOfLimit = 1.5;
constexpr double kMoreThanLimit = 5;
// What a host sends counts from so long after it was told.
constexpr std::chrono::milliseconds kUnderWay{500};
// An endpoint's requests count from so long after it first named a limit.
constexpr std::chrono::seconds kSettles{3};

}  // namespace

forward::RequestLimit EmulatedLimits::LimitOf(
    const forward::ListedEndpoint& endpoint,
    uint32_t index,
    base::TimePoint now) const {
  forward::RequestLimit limit;
  for (const PoolLimit& it : scenario_.limits) {
    if (it.pool != endpoint.pool.value || index % it.one_in != 0 ||
        now < began_)
      continue;
    const base::Duration since = now - began_;
    if (since >= it.at && since - it.at < it.lasts)
      limit.per_second = it.per_second;
  }
  return limit;
}

std::optional<double> EmulatedLimits::HighestIn(
    const forward::ListedEndpoint& endpoint,
    uint32_t index,
    base::TimePoint now) const {
  std::optional<double> highest;
  for (const PoolLimit& it : scenario_.limits) {
    if (it.pool != endpoint.pool.value || index % it.one_in != 0)
      continue;
    const base::TimePoint begins = began_ + it.at;
    if (begins <= now && begins + it.lasts > now - kWindow)
      highest = std::max(highest.value_or(0), it.per_second);
  }
  return highest;
}

void EmulatedLimits::NoteTold(size_t host,
                              const forward::ListedEndpoint& endpoint,
                              const forward::RequestLimit& limit,
                              base::TimePoint now) {
  if (!limit.per_second) {
    limited_.erase(endpoint.name);
    return;
  }
  const auto [it, is_new] = limited_.try_emplace(endpoint.name);
  if (is_new)
    it->second.first_named = now;
  it->second.told.try_emplace(host, now);
}

void EmulatedLimits::NoteArrival(size_t host,
                                 const forward::ListedEndpoint& endpoint,
                                 uint32_t index,
                                 base::TimePoint now) {
  const auto it = limited_.find(endpoint.name);
  if (it == limited_.end() || !LimitOf(endpoint, index, now).per_second)
    return;
  Limited& limited = it->second;
  if (now >= limited.first_named + kSettles)
    ++report_.limited_arrivals;
  const auto told = limited.told.find(host);
  if (told == limited.told.end() || now < told->second + kUnderWay ||
      excused_.contains(host))
    return;
  limited.arrivals.push_back(now);
  while (limited.arrivals.front() <= now - kWindow)
    limited.arrivals.pop_front();
  if (now < limited.first_named + kSettles + kWindow)
    return;
  const double allowed = kMostOfLimit *
                             HighestIn(endpoint, index, now).value_or(0) *
                             static_cast<double>(kWindow.count()) +
                         kMoreThanLimit;
  const auto arrived = static_cast<double>(limited.arrivals.size());
  report_.max_limit_usage =
      std::max(report_.max_limit_usage, arrived / allowed);
  if (arrived > allowed)
    ++report_.sent_over_limit;
}

}  // namespace bilberry::emulation
