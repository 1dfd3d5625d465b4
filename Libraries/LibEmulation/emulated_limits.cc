#include "LibEmulation/emulated_limits.h"

#include <algorithm>
#include <chrono>

namespace bilberry::emulation {

namespace {

constexpr std::chrono::seconds kWindow{4};
constexpr double kLimitFactor = 1.5;
constexpr double kLimitAllowance = 5;
// A host's requests count from this long after it learned of the limit.
constexpr std::chrono::milliseconds kInFlightTime{500};
// An endpoint's requests count from this long after it first named a limit.
constexpr std::chrono::seconds kSettlingTime{3};

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

std::optional<double> EmulatedLimits::HighestLimitIn(
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

void EmulatedLimits::NoteLimitKnown(size_t host,
                                    const forward::ListedEndpoint& endpoint,
                                    const forward::RequestLimit& limit,
                                    base::TimePoint now) {
  if (!limit.per_second) {
    limited_.erase(endpoint.name);
    return;
  }
  const auto [it, is_new] = limited_.try_emplace(endpoint.name);
  if (is_new)
    it->second.first_announced = now;
  it->second.known_since.try_emplace(host, now);
}

void EmulatedLimits::NoteArrival(size_t host,
                                 const forward::ListedEndpoint& endpoint,
                                 uint32_t index,
                                 base::TimePoint now) {
  const auto it = limited_.find(endpoint.name);
  if (it == limited_.end() || !LimitOf(endpoint, index, now).per_second)
    return;
  Limited& limited = it->second;
  if (now >= limited.first_announced + kSettlingTime)
    ++report_.limited_arrivals;
  const auto known_since = limited.known_since.find(host);
  if (known_since == limited.known_since.end() ||
      now < known_since->second + kInFlightTime || exempt_.contains(host))
    return;
  limited.arrivals.push_back(now);
  while (limited.arrivals.front() <= now - kWindow)
    limited.arrivals.pop_front();
  if (now < limited.first_announced + kSettlingTime + kWindow)
    return;
  const double allowed = kLimitFactor *
                             HighestLimitIn(endpoint, index, now).value_or(0) *
                             static_cast<double>(kWindow.count()) +
                         kLimitAllowance;
  const auto arrived = static_cast<double>(limited.arrivals.size());
  report_.max_limit_usage =
      std::max(report_.max_limit_usage, arrived / allowed);
  if (arrived > allowed)
    ++report_.sent_over_limit;
}

}  // namespace bilberry::emulation
