#include "LibPolicy/pool_scheduler.h"

#include <algorithm>

#include "LibBase/overloaded.h"

namespace bilberry::policy {

PoolScheduler::PoolScheduler(declare::Pool pool,
                             base::ZoneName own_zone,
                             PolicyKind policy,
                             uint64_t seed)
    : pool_(std::move(pool)),
      own_zone_(std::move(own_zone)),
      random_(seed),
      queue_(MakeQueue(policy)) {}

PoolScheduler::Queue PoolScheduler::MakeQueue(PolicyKind policy) {
  if (policy == PolicyKind::kBaseline)
    return FirstComeQueue();
  return FairQueue();
}

void PoolScheduler::Reconfigure(const declare::Pool& pool,
                                const RankShares& shares) {
  pool_ = pool;
  if (auto* fair = std::get_if<FairQueue>(&queue_))
    fair->SetShares(shares);
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

OfferOutcome PoolScheduler::Offer(Work work, base::TimePoint /*now*/) {
  if (queued() >= kMaxQueued)
    return OfferOutcome::kQueueFull;
  std::visit([&](auto& queue) { queue.Push(std::move(work)); }, queue_);
  return OfferOutcome::kQueued;
}

bool PoolScheduler::Withdraw(base::RunId run) {
  return std::visit([run](auto& queue) { return queue.Remove(run); }, queue_);
}

size_t PoolScheduler::queued() const {
  return std::visit([](const auto& queue) { return queue.size(); }, queue_);
}

const Work* PoolScheduler::NextWork(base::TimePoint now) {
  return std::visit(base::Overloaded{
                        [](FirstComeQueue& queue) { return queue.Next(); },
                        [now](FairQueue& queue) { return queue.Next(now); },
                    },
                    queue_);
}

Work PoolScheduler::PopWork(base::TimePoint now) {
  return std::visit(base::Overloaded{
                        [](FirstComeQueue& queue) { return queue.Pop(); },
                        [now](FairQueue& queue) { return queue.Pop(now); },
                    },
                    queue_);
}

bool PoolScheduler::HasRoom(const EndpointSlot& slot) const {
  return slot.in_flight < pool_.slots_per_worker;
}

std::optional<size_t> PoolScheduler::ChooseEndpoint() {
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < slots_.size(); ++i) {
    if (HasRoom(slots_[i]))
      candidates.push_back({i});
  }
  return round_robin_.Choose(candidates, slots_.size());
}

std::optional<Dispatch> PoolScheduler::NextDispatch(base::TimePoint now) {
  if (NextWork(now) == nullptr)
    return std::nullopt;
  const auto chosen = ChooseEndpoint();
  if (!chosen)
    return std::nullopt;
  EndpointSlot& slot = slots_[*chosen];
  ++slot.in_flight;
  Work work = PopWork(now);
  calls_[work.run] = {slot.target.name, std::move(work.stage)};
  return Dispatch{work.run, slot.target.name};
}

std::vector<base::RunId> PoolScheduler::TakeLapsed() {
  if (auto* fair = std::get_if<FairQueue>(&queue_))
    return fair->TakeLapsed();
  return {};
}

void PoolScheduler::Finish(const AttemptReport& report, base::TimePoint now) {
  const auto found = calls_.find(report.run);
  if (found == calls_.end())
    return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  EndpointSlot* slot = FindSlot(call.endpoint);
  if (slot != nullptr && slot->in_flight > 0)
    --slot->in_flight;
  NoteLatency(call, report, now);
}

void PoolScheduler::NoteLatency(const Call& call,
                                const AttemptReport& report,
                                base::TimePoint now) {
  // A lapsed attempt took at least this long, which says something only of
  // those that took long.
  const bool is_late =
      report.verdict == AttemptVerdict::kTimedOut &&
      report.latency >
          stage_times_.EstimateOf(call.stage, base::Duration::max(), now)
              .typical;
  if (report.verdict == AttemptVerdict::kSucceeded || is_late)
    stage_times_.Note(call.stage, report.latency, now);
}

void PoolScheduler::NotePeerShare(const base::HostName& peer,
                                  uint32_t in_flight,
                                  base::TimePoint now) {
  peer_shares_[peer] = {in_flight, now};
}

base::Duration PoolScheduler::EstimatedWait(const Claim& claim) const {
  const auto* fair = std::get_if<FairQueue>(&queue_);
  if (fair == nullptr || fair->size() == 0)
    return base::Duration(0);
  // While work waits, what is in flight is all that this host may have.
  const auto at_once = static_cast<int64_t>(std::max<size_t>(calls_.size(), 1));
  return fair->Ahead(claim) / at_once;
}

StageEstimate PoolScheduler::EstimateOf(const StageId& stage,
                                        base::Duration declared,
                                        base::TimePoint now) const {
  return stage_times_.EstimateOf(stage, declared, now);
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
  load.queued = static_cast<uint32_t>(queued());
  for (const EndpointSlot& slot : slots_)
    load.in_flight += slot.in_flight;
  return load;
}

}  // namespace bilberry::policy
