#include "LibPolicy/pool_scheduler.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::policy {

namespace {

// Requests at an endpoint, with which it is lightly loaded.
constexpr double kLightLoad = 1;
// An answer that took so many times the median counts as a failure.
constexpr int kFarTooSlow = 5;
// So does none within this many times of what nine in ten take.
constexpr int kTimedOutAfter = 2;

}  // namespace

PoolScheduler::PoolScheduler(declare::Pool pool,
                             base::ZoneName own_zone,
                             PolicyKind policy,
                             uint64_t seed)
    : pool_(std::move(pool)),
      own_zone_(std::move(own_zone)),
      random_(seed),
      queue_(MakeQueue(policy)),
      choice_(MakeChoice(policy)) {}

PoolScheduler::Queue PoolScheduler::MakeQueue(PolicyKind policy) {
  if (policy == PolicyKind::kBaseline)
    return FifoQueue();
  return FairQueue();
}

PoolScheduler::Choice PoolScheduler::MakeChoice(PolicyKind policy) {
  if (policy == PolicyKind::kBaseline)
    return RoundRobin();
  return TwoChoices();
}

void PoolScheduler::Reconfigure(const declare::Pool& pool,
                                const RankShares& shares) {
  pool_ = pool;
  if (auto* fair = std::get_if<FairQueue>(&queue_))
    fair->SetShares(shares);
}

void PoolScheduler::SetEndpoints(const std::vector<EndpointTarget>& endpoints,
                                 base::TimePoint now) {
  std::vector<PoolEndpoint> slots;
  std::unordered_map<base::EndpointName, size_t> indices;
  slots.reserve(endpoints.size());
  for (const EndpointTarget& target : endpoints) {
    const auto old = slot_indices_.find(target.name);
    indices[target.name] = slots.size();
    if (old != slot_indices_.end() &&
        slots_[old->second].target().incarnation == target.incarnation)
      slots.push_back(std::move(slots_[old->second]));
    else
      slots.emplace_back(target, pool_.slots_per_worker);
  }
  slots_ = std::move(slots);
  limit_sum_ = 0;
  for (const PoolEndpoint& slot : slots_)
    limit_sum_ += slot.limit().value();
  slot_indices_ = std::move(indices);
  FindNextReturn(now);
  if (auto* two = std::get_if<TwoChoices>(&choice_))
    two->SetEndpoints(slots_, own_zone_);
}

OfferOutcome PoolScheduler::Offer(Work work, base::TimePoint /*now*/) {
  // Services have no cache of prefixes.
  if (pool_.kind != declare::PoolKind::kEngine)
    work.affinity = 0;
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
                        [](FifoQueue& queue) { return queue.Next(); },
                        [now](FairQueue& queue) { return queue.Next(now); },
                    },
                    queue_);
}

Work PoolScheduler::PopWork(base::TimePoint now) {
  return std::visit(base::Overloaded{
                        [](FifoQueue& queue) { return queue.Pop(); },
                        [now](FairQueue& queue) { return queue.Pop(now); },
                    },
                    queue_);
}

PeerLoadView PoolScheduler::Peers() const {
  const auto endpoints =
      static_cast<double>(std::max<size_t>(slots_.size(), 1));
  const auto hosts = static_cast<double>(peer_shares_.peer_count() + 1);
  const double own_quota = std::max(limit_sum_ / hosts, 1.0);
  const bool is_open = static_cast<double>(calls_.size()) < own_quota;
  return {peer_shares_.in_flight() / endpoints, peer_shares_.peer_count(),
          is_open ? OwnQuota::kAvailable : OwnQuota::kExhausted};
}

std::optional<size_t> PoolScheduler::ChooseInTurn(RoundRobin& turns,
                                                  base::TimePoint now) const {
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < slots_.size(); ++i) {
    if (slots_[i].in_flight() < pool_.slots_per_worker &&
        slots_[i].backoff_until() <= now)
      candidates.push_back({i});
  }
  return turns.Choose(candidates, slots_.size());
}

std::optional<size_t> PoolScheduler::ChooseEndpoint(const Work& work,
                                                    base::TimePoint now) {
  return std::visit(
      base::Overloaded{
          [&](RoundRobin& turns) { return ChooseInTurn(turns, now); },
          [&](const TwoChoices& two) {
            return two.Choose(slots_, Peers(), work, now, random_);
          },
      },
      choice_);
}

std::optional<Dispatch> PoolScheduler::NextDispatch(base::TimePoint now) {
  peer_shares_.Expire(now);
  if (next_return_ && now >= *next_return_)
    FindNextReturn(now);
  const Work* next = NextWork(now);
  if (next == nullptr)
    return std::nullopt;
  const auto chosen = ChooseEndpoint(*next, now);
  if (!chosen)
    return std::nullopt;
  PoolEndpoint& slot = slots_[*chosen];
  Work work = PopWork(now);
  const double load = slot.in_flight() + slot.PeerLoadAt(Peers(), now);
  slot.Begin(work.run, work.service.typical, now);
  calls_[work.run] = {slot.target().name, slot.target().incarnation,
                      std::move(work.stage), work.service.typical, load};
  return Dispatch{work.run, slot.target().name};
}

std::vector<base::RunId> PoolScheduler::TakeExpired() {
  if (auto* fair = std::get_if<FairQueue>(&queue_))
    return fair->TakeExpired();
  return {};
}

std::vector<HealthChange> PoolScheduler::TakeHealthChanges() {
  return std::exchange(health_changes_, {});
}

void PoolScheduler::Finish(const AttemptReport& report, base::TimePoint now) {
  const auto found = calls_.find(report.run);
  if (found == calls_.end())
    return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  NoteLatency(call, report, now);
  PoolEndpoint* slot = SlotOf(call);
  if (slot == nullptr)
    return;
  slot->End(report.run);
  if (report.reported_load)
    slot->NoteReport(*report.reported_load, now);
  limit_sum_ -= slot->limit().value();
  AdjustLimit(*slot, call, report, now);
  limit_sum_ += slot->limit().value();
  JudgeHealth(*slot, call, report, now);
}

void PoolScheduler::JudgeHealth(PoolEndpoint& slot,
                                const Call& call,
                                const AttemptReport& report,
                                base::TimePoint now) {
  const auto estimate = stage_times_.EstimateOf(call.stage, call.expected, now);
  switch (report.verdict) {
    case AttemptVerdict::kRefusedNotRun:
    case AttemptVerdict::kCancelled:
      return;
    case AttemptVerdict::kSucceeded:
      if (report.latency <= kFarTooSlow * estimate.typical) {
        NoteSoundAnswer(slot, now);
        return;
      }
      break;
    case AttemptVerdict::kTimedOut:
      // With a short time left any endpoint would have failed.
      if (report.latency <= kTimedOutAfter * estimate.slow)
        return;
      break;
    case AttemptVerdict::kFailed:
    case AttemptVerdict::kUnreachable:
      break;
  }
  slot.health().NoteFailure(now);
  if (!slot.health().has_reached_ejection_threshold() || !MayEject(slot, now))
    return;
  slot.health().Eject(now);
  health_changes_.push_back({slot.target().name, HealthState::kEjected});
  FindNextReturn(now);
}

void PoolScheduler::NoteSoundAnswer(PoolEndpoint& slot, base::TimePoint now) {
  const bool was_probe = slot.health().state(now) == HealthState::kHalfOpen;
  slot.health().NoteSuccess(now);
  if (was_probe)
    health_changes_.push_back({slot.target().name, HealthState::kHealthy});
}

bool PoolScheduler::MayEject(const PoolEndpoint& slot,
                             base::TimePoint now) const {
  size_t out_of_service = 1;
  for (const PoolEndpoint& other : slots_) {
    const bool is_sound = other.health().state(now) == HealthState::kHealthy;
    if (&other != &slot && !is_sound)
      ++out_of_service;
  }
  return 2 * out_of_service <= slots_.size();
}

void PoolScheduler::FindNextReturn(base::TimePoint now) {
  next_return_.reset();
  for (const PoolEndpoint& slot : slots_) {
    base::TimePoint end = slot.backoff_until();
    if (slot.health().state(now) == HealthState::kEjected)
      end = std::max(end, slot.health().ejected_until());
    if (end > now)
      next_return_ = next_return_ ? std::min(*next_return_, end) : end;
  }
}

void PoolScheduler::NoteBackoff(const base::EndpointName& endpoint,
                                base::TimePoint until,
                                base::TimePoint now) {
  const auto found = slot_indices_.find(endpoint);
  if (found == slot_indices_.end())
    return;
  slots_[found->second].NoteBackoff(until);
  FindNextReturn(now);
}

base::TimePoint PoolScheduler::EarliestBackoffEnd(base::TimePoint now) const {
  const auto first =
      std::ranges::min_element(slots_, {}, &PoolEndpoint::backoff_until);
  return first == slots_.end() ? now : std::max(now, first->backoff_until());
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
  if (report.verdict != AttemptVerdict::kSucceeded && !is_late)
    return;
  const bool is_light = call.load < kLightLoad;
  stage_times_.Note(call.stage, report.latency,
                    is_light ? EndpointLoad::kLight : EndpointLoad::kHeavy,
                    call.expected, now);
}

void PoolScheduler::AdjustLimit(PoolEndpoint& slot,
                                const Call& call,
                                const AttemptReport& report,
                                base::TimePoint now) {
  if (report.verdict == AttemptVerdict::kRefusedNotRun) {
    slot.limit().NoteOverload(call.expected, now);
    return;
  }
  const auto unloaded = stage_times_.UnloadedLatencyOf(call.stage);
  const bool has_latency = report.verdict == AttemptVerdict::kSucceeded ||
                           report.verdict == AttemptVerdict::kTimedOut;
  if (!unloaded || !has_latency)
    return;
  const double slowdown = static_cast<double>(report.latency.count()) /
                          std::max(1.0, static_cast<double>(unloaded->count()));
  // A lapsed attempt that took less than that tells nothing.
  if (report.verdict == AttemptVerdict::kTimedOut && slowdown < 1)
    return;
  slot.limit().NoteAnswer(slowdown, call.load + 1, now);
}

void PoolScheduler::NotePeerLoad(const base::HostName& peer,
                                 uint32_t in_flight,
                                 base::TimePoint now) {
  peer_shares_.Note(peer, in_flight, now);
}

base::Duration PoolScheduler::EstimatedWait(const WorkClass& claim) const {
  const auto* fair = std::get_if<FairQueue>(&queue_);
  if (fair == nullptr || fair->size() == 0)
    return base::Duration(0);
  // While work waits, what is in flight is all that this host may have.
  const auto at_once = static_cast<int64_t>(std::max<size_t>(calls_.size(), 1));
  return fair->BacklogAhead(claim) / at_once;
}

StageEstimate PoolScheduler::EstimateOf(const StageId& stage,
                                        base::Duration declared,
                                        base::TimePoint now) const {
  return stage_times_.EstimateOf(stage, declared, now);
}

std::optional<base::TimePoint> PoolScheduler::NextWakeup() const {
  return queued() > 0 ? next_return_ : std::nullopt;
}

const EndpointTarget* PoolScheduler::FindEndpoint(
    const base::EndpointName& name) const {
  const auto found = slot_indices_.find(name);
  return found == slot_indices_.end() ? nullptr
                                      : &slots_[found->second].target();
}

PoolEndpoint* PoolScheduler::SlotOf(const Call& call) {
  const auto found = slot_indices_.find(call.endpoint);
  if (found == slot_indices_.end())
    return nullptr;
  PoolEndpoint& slot = slots_[found->second];
  return slot.target().incarnation == call.incarnation ? &slot : nullptr;
}

PoolLoad PoolScheduler::Load() const {
  PoolLoad load;
  load.pool = pool_.name;
  load.endpoints = static_cast<uint32_t>(slots_.size());
  load.queued = static_cast<uint32_t>(queued());
  for (const PoolEndpoint& slot : slots_)
    load.in_flight += slot.in_flight();
  return load;
}

}  // namespace bilberry::policy
