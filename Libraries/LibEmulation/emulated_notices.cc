#include "LibEmulation/emulated_notices.h"

#include <algorithm>

namespace bilberry::emulation {

namespace {

// Requests sent before a notice arrived may reach the endpoint for this long.
constexpr std::chrono::milliseconds kInFlightTime{500};
// Hosts share notices with each other within this time, which is the notice
// that endpoints of a small fleet give before they leave.
constexpr std::chrono::milliseconds kFleetNoticeTime{2000};

}  // namespace

std::optional<base::Duration> EmulatedNotices::RefusalTimeLeft(
    const forward::ListedEndpoint& endpoint,
    base::TimePoint now) const {
  for (const PoolRefusals& it : scenario_.refusals) {
    if (it.pool != endpoint.pool.value || now < began_ || now - began_ < it.at)
      continue;
    const base::Duration since = now - began_ - it.at;
    const auto turn = static_cast<uint64_t>(since / it.lasts);
    if (indexes_.at(endpoint.name) % it.one_in == turn % it.one_in)
      return it.lasts - since % it.lasts;
  }
  return std::nullopt;
}

bool EmulatedNotices::SendsRetryAfter(
    const forward::ListedEndpoint& endpoint) const {
  return std::ranges::any_of(scenario_.refusals, [&](const PoolRefusals& it) {
    return it.pool == endpoint.pool.value && it.is_announced;
  });
}

bool EmulatedNotices::IsLeaving(const forward::ListedEndpoint& endpoint,
                                base::TimePoint now) const {
  for (const PoolDeparture& it : scenario_.departures) {
    if (it.pool == endpoint.pool.value && now >= began_ &&
        now - began_ >= it.at && indexes_.at(endpoint.name) % it.one_in == 0)
      return true;
  }
  return false;
}

void EmulatedNotices::NoteArrival(size_t host,
                                  const forward::ListedEndpoint& endpoint,
                                  base::TimePoint now) {
  CountAgainstLimit(host, endpoint, now);
  const auto first = first_announced_leaving_.find(endpoint.name);
  if (first != first_announced_leaving_.end() &&
      now > first->second + kFleetNoticeTime)
    ++report_.sent_after_fleet_notified;
  const auto it = known_notices_.find({host, endpoint.name});
  if (it == known_notices_.end())
    return;
  const KnownNotices& known = it->second;
  if (now > known.backoff_since + kInFlightTime && now < known.backoff_until)
    ++report_.sent_despite_retry_after;
  if (known.leaving_since && now > *known.leaving_since + kInFlightTime)
    ++report_.sent_to_leaving;
}

void EmulatedNotices::CountAgainstLimit(size_t host,
                                        const forward::ListedEndpoint& endpoint,
                                        base::TimePoint now) {
  limits_.NoteArrival(host, endpoint, indexes_.at(endpoint.name), now);
}

forward::EndpointNotice EmulatedNotices::NoticeFor(
    size_t host,
    const forward::ListedEndpoint& endpoint,
    base::TimePoint now) {
  forward::EndpointNotice notice;
  if (SendsRetryAfter(endpoint))
    notice.retry_after = RefusalTimeLeft(endpoint, now);
  notice.is_leaving = IsLeaving(endpoint, now);
  notice.limit = limits_.LimitOf(endpoint, indexes_.at(endpoint.name), now);
  limits_.NoteLimitKnown(host, endpoint, *notice.limit, now);
  if (notice.is_empty())
    return notice;
  KnownNotices& known = known_notices_[{host, endpoint.name}];
  if (notice.is_leaving && !known.leaving_since)
    known.leaving_since = now;
  if (notice.is_leaving)
    first_announced_leaving_.try_emplace(endpoint.name, now);
  if (notice.retry_after && now >= known.backoff_until) {
    known.backoff_since = now;
    known.backoff_until = now + *notice.retry_after;
  }
  return notice;
}

}  // namespace bilberry::emulation
