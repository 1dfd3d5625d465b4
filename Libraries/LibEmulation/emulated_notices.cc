#include "LibEmulation/emulated_notices.h"

#include <algorithm>

namespace bilberry::emulation {

namespace {

// What was under way when an endpoint said something may still reach it.
constexpr std::chrono::milliseconds kUnderWay{500};
// Hosts tell each other what endpoints said within this time: the notice that
// endpoints of a small fleet give before they leave.
constexpr std::chrono::milliseconds kFleetKnows{2000};

}  // namespace

std::optional<base::Duration> EmulatedNotices::TurnsAwayFor(
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

bool EmulatedNotices::AnnouncesRefusals(
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
  NoteOrder(host, endpoint, now);
  const auto first = first_told_leaving_.find(endpoint.name);
  if (first != first_told_leaving_.end() && now > first->second + kFleetKnows)
    ++report_.sent_after_fleet_notified;
  const auto it = told_.find({host, endpoint.name});
  if (it == told_.end())
    return;
  const Told& told = it->second;
  if (now > told.quiet_since + kUnderWay && now < told.quiet_until)
    ++report_.sent_despite_retry_after;
  if (told.leaving_since && now > *told.leaving_since + kUnderWay)
    ++report_.sent_to_leaving;
}

void EmulatedNotices::NoteOrder(size_t host,
                                const forward::ListedEndpoint& endpoint,
                                base::TimePoint now) {
  limits_.NoteArrival(host, endpoint, indexes_.at(endpoint.name), now);
}

forward::EndpointNotice EmulatedNotices::Tell(
    size_t host,
    const forward::ListedEndpoint& endpoint,
    base::TimePoint now) {
  forward::EndpointNotice notice;
  if (AnnouncesRefusals(endpoint))
    notice.retry_after = TurnsAwayFor(endpoint, now);
  notice.is_leaving = IsLeaving(endpoint, now);
  notice.limit = limits_.LimitOf(endpoint, indexes_.at(endpoint.name), now);
  limits_.NoteTold(host, endpoint, *notice.limit, now);
  if (notice.is_empty())
    return notice;
  Told& told = told_[{host, endpoint.name}];
  if (notice.is_leaving && !told.leaving_since)
    told.leaving_since = now;
  if (notice.is_leaving)
    first_told_leaving_.try_emplace(endpoint.name, now);
  if (notice.retry_after && now >= told.quiet_until) {
    told.quiet_since = now;
    told.quiet_until = now + *notice.retry_after;
  }
  return notice;
}

}  // namespace bilberry::emulation
