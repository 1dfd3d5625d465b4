#include "LibPolicy/pool_scheduler.h"

#include <algorithm>

namespace bilberry::policy {

PoolScheduler::PoolScheduler(declare::Pool pool,
                             base::ZoneName own_zone,
                             PolicyKind /*policy*/,
                             uint64_t seed)
    : pool_(std::move(pool)), own_zone_(std::move(own_zone)), random_(seed) {}

void PoolScheduler::Reconfigure(const declare::Pool& pool) {
  pool_ = pool;
}

void PoolScheduler::SetEndpoints(const std::vector<EndpointTarget>& endpoints,
                                 base::TimePoint /*now*/) {
  std::vector<EndpointSlot> slots;
  slots.reserve(endpoints.size());
  for (const EndpointTarget& target : endpoints) {
    EndpointSlot slot{target};
    const EndpointSlot* old = FindSlot(target.name);
    if (old != nullptr && old->target.incarnation == target.incarnation)
      slot.in_flight = old->in_flight;
    slots.push_back(std::move(slot));
  }
  slots_ = std::move(slots);
}

void PoolScheduler::Offer(Work work, base::TimePoint /*now*/) {
  queue_.Push(std::move(work));
}

bool PoolScheduler::Withdraw(base::RunId run) {
  return queue_.Remove(run);
}

std::optional<Dispatch> PoolScheduler::NextDispatch(base::TimePoint /*now*/) {
  if (queue_.size() == 0)
    return std::nullopt;
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < slots_.size(); ++i) {
    if (slots_[i].in_flight < pool_.slots_per_worker)
      candidates.push_back({i});
  }
  const auto chosen = round_robin_.Choose(candidates, slots_.size());
  if (!chosen)
    return std::nullopt;
  EndpointSlot& slot = slots_[*chosen];
  ++slot.in_flight;
  return Dispatch{queue_.Pop().run, slot.target.name};
}

void PoolScheduler::Finish(const AttemptReport& report,
                           base::TimePoint /*now*/) {
  EndpointSlot* slot = FindSlot(report.endpoint);
  if (slot != nullptr && slot->in_flight > 0)
    --slot->in_flight;
}

void PoolScheduler::NotePeerShare(const base::HostName& peer,
                                  uint32_t in_flight,
                                  base::TimePoint now) {
  peer_shares_[peer] = {in_flight, now};
}

base::Duration PoolScheduler::EstimatedWait(declare::Rank /*rank*/,
                                            const base::TeamName& /*team*/,
                                            base::TimePoint /*now*/) const {
  return base::Duration(0);
}

std::optional<base::TimePoint> PoolScheduler::NextWakeup() const {
  return std::nullopt;
}

const EndpointTarget* PoolScheduler::FindEndpoint(
    const base::EndpointName& name) const {
  const auto it = std::ranges::find_if(slots_, [&](const EndpointSlot& slot) {
    return slot.target.name == name;
  });
  return it == slots_.end() ? nullptr : &it->target;
}

PoolScheduler::EndpointSlot* PoolScheduler::FindSlot(
    const base::EndpointName& name) {
  const auto it = std::ranges::find_if(slots_, [&](const EndpointSlot& slot) {
    return slot.target.name == name;
  });
  return it == slots_.end() ? nullptr : &*it;
}

PoolLoad PoolScheduler::Load() const {
  PoolLoad load;
  load.pool = pool_.name;
  load.endpoints = static_cast<uint32_t>(slots_.size());
  load.queued = static_cast<uint32_t>(queue_.size());
  for (const EndpointSlot& slot : slots_)
    load.in_flight += slot.in_flight;
  return load;
}

}  // namespace bilberry::policy
