#include "LibPolicy/pool_scheduler.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::policy {

namespace {

// An endpoint with fewer requests than this counts as unloaded.
constexpr double kLightLoad = 1;
// An answer slower than this multiple of the median counts as a failure.
constexpr int kSlowAnswerFactor = 5;
// A timeout counts as a failure only when the attempt took longer than this
// multiple of the 90th percentile.
constexpr int kTimeoutFactor = 2;

}  // namespace

PoolScheduler::PoolScheduler(declare::Pool pool,
                             base::ZoneName own_zone,
                             PolicyKind policy,
                             uint64_t seed)
    : pool_(std::move(pool)),
      own_zone_(std::move(own_zone)),
      random_(seed),
      queue_(MakeQueue(policy)),
      load_balancer_(MakeLoadBalancer(policy)) {}

PoolScheduler::Queue PoolScheduler::MakeQueue(PolicyKind policy) {
  if (policy == PolicyKind::kBaseline)
    return FifoQueue();
  return FairQueue();
}

PoolScheduler::LoadBalancer PoolScheduler::MakeLoadBalancer(PolicyKind policy) {
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
  std::vector<PoolEndpoint> pool_endpoints;
  std::unordered_map<base::EndpointName, size_t> indices;
  pool_endpoints.reserve(endpoints.size());
  for (const EndpointTarget& target : endpoints) {
    const auto old = endpoint_indices_.find(target.name);
    indices[target.name] = pool_endpoints.size();
    if (old != endpoint_indices_.end() &&
        endpoints_[old->second].target().incarnation == target.incarnation)
      pool_endpoints.push_back(std::move(endpoints_[old->second]));
    else
      pool_endpoints.emplace_back(target, pool_.slots_per_worker);
  }
  endpoints_ = std::move(pool_endpoints);
  limit_sum_ = 0;
  for (const PoolEndpoint& endpoint : endpoints_)
    limit_sum_ += endpoint.limit().value();
  endpoint_indices_ = std::move(indices);
  UpdateNextAvailability(now);
  if (auto* two_choices = std::get_if<TwoChoices>(&load_balancer_))
    two_choices->SetEndpoints(endpoints_, own_zone_);
}

OfferOutcome PoolScheduler::Offer(Work work, base::TimePoint /*now*/) {
  // Only engines cache prompt prefixes; plain services gain nothing from
  // affinity.
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

PeerLoadView PoolScheduler::CurrentPeerLoad() const {
  const auto endpoints =
      static_cast<double>(std::max<size_t>(endpoints_.size(), 1));
  const auto hosts = static_cast<double>(peer_loads_.peer_count() + 1);
  const double own_quota = std::max(limit_sum_ / hosts, 1.0);
  const bool has_quota = static_cast<double>(calls_.size()) < own_quota;
  return {peer_loads_.in_flight() / endpoints, peer_loads_.peer_count(),
          has_quota ? OwnQuota::kAvailable : OwnQuota::kExhausted};
}

std::optional<size_t> PoolScheduler::ChooseRoundRobin(
    RoundRobin& round_robin,
    base::TimePoint now) const {
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    if (endpoints_[i].in_flight() < pool_.slots_per_worker &&
        endpoints_[i].backoff_until() <= now)
      candidates.push_back({i});
  }
  return round_robin.Choose(candidates, endpoints_.size());
}

std::optional<size_t> PoolScheduler::ChooseEndpoint(const Work& work,
                                                    base::TimePoint now) {
  return std::visit(base::Overloaded{
                        [&](RoundRobin& round_robin) {
                          return ChooseRoundRobin(round_robin, now);
                        },
                        [&](const TwoChoices& two_choices) {
                          return two_choices.Choose(endpoints_,
                                                    CurrentPeerLoad(), work,
                                                    now, random_);
                        },
                    },
                    load_balancer_);
}

std::optional<Dispatch> PoolScheduler::NextDispatch(base::TimePoint now) {
  peer_loads_.Expire(now);
  if (next_availability_ && now >= *next_availability_)
    UpdateNextAvailability(now);
  const Work* next = NextWork(now);
  if (next == nullptr)
    return std::nullopt;
  const auto chosen = ChooseEndpoint(*next, now);
  if (!chosen)
    return std::nullopt;
  PoolEndpoint& endpoint = endpoints_[*chosen];
  Work work = PopWork(now);
  const double load =
      endpoint.in_flight() + endpoint.PeerLoadAt(CurrentPeerLoad(), now);
  endpoint.Begin(work.run, work.service.typical, now);
  calls_[work.run] = {endpoint.target().name, endpoint.target().incarnation,
                      std::move(work.stage), work.service.typical, load};
  return Dispatch{work.run, endpoint.target().name};
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
  PoolEndpoint* endpoint = FindEndpointOf(call);
  if (endpoint == nullptr)
    return;
  endpoint->End(report.run);
  if (report.reported_load)
    endpoint->NoteReport(*report.reported_load, now);
  limit_sum_ -= endpoint->limit().value();
  AdjustLimit(*endpoint, call, report, now);
  limit_sum_ += endpoint->limit().value();
  UpdateHealth(*endpoint, call, report, now);
}

void PoolScheduler::UpdateHealth(PoolEndpoint& endpoint,
                                 const Call& call,
                                 const AttemptReport& report,
                                 base::TimePoint now) {
  const auto estimate =
      stage_time_estimator_.EstimateOf(call.stage, call.expected, now);
  switch (report.verdict) {
    case AttemptVerdict::kRefusedNotRun:
    case AttemptVerdict::kCancelled:
      return;
    case AttemptVerdict::kSucceeded:
      if (report.latency <= kSlowAnswerFactor * estimate.typical) {
        NoteHealthyAnswer(endpoint, now);
        return;
      }
      break;
    case AttemptVerdict::kTimedOut:
      // With little time left before the deadline, the attempt would have timed
      // out at any endpoint.
      if (report.latency <= kTimeoutFactor * estimate.slow)
        return;
      break;
    case AttemptVerdict::kFailed:
    case AttemptVerdict::kUnreachable:
      break;
  }
  endpoint.health().NoteFailure(now);
  if (!endpoint.health().has_reached_ejection_threshold() ||
      !MayEject(endpoint, now))
    return;
  endpoint.health().Eject(now);
  health_changes_.push_back({endpoint.target().name, HealthState::kEjected});
  UpdateNextAvailability(now);
}

void PoolScheduler::NoteHealthyAnswer(PoolEndpoint& endpoint,
                                      base::TimePoint now) {
  const bool was_probe = endpoint.health().state(now) == HealthState::kHalfOpen;
  endpoint.health().NoteSuccess(now);
  if (was_probe)
    health_changes_.push_back({endpoint.target().name, HealthState::kHealthy});
}

bool PoolScheduler::MayEject(const PoolEndpoint& endpoint,
                             base::TimePoint now) const {
  size_t out_of_service = 1;
  for (const PoolEndpoint& other : endpoints_) {
    const bool is_healthy = other.health().state(now) == HealthState::kHealthy;
    if (&other != &endpoint && !is_healthy)
      ++out_of_service;
  }
  return 2 * out_of_service <= endpoints_.size();
}

void PoolScheduler::UpdateNextAvailability(base::TimePoint now) {
  next_availability_.reset();
  for (const PoolEndpoint& endpoint : endpoints_) {
    base::TimePoint end = endpoint.backoff_until();
    if (endpoint.health().state(now) == HealthState::kEjected)
      end = std::max(end, endpoint.health().ejected_until());
    if (end > now)
      next_availability_ =
          next_availability_ ? std::min(*next_availability_, end) : end;
  }
}

void PoolScheduler::NoteBackoff(const base::EndpointName& endpoint,
                                base::TimePoint until,
                                base::TimePoint now) {
  const auto found = endpoint_indices_.find(endpoint);
  if (found == endpoint_indices_.end())
    return;
  endpoints_[found->second].NoteBackoff(until);
  UpdateNextAvailability(now);
}

base::TimePoint PoolScheduler::EarliestBackoffEnd(base::TimePoint now) const {
  const auto first =
      std::ranges::min_element(endpoints_, {}, &PoolEndpoint::backoff_until);
  return first == endpoints_.end() ? now
                                   : std::max(now, first->backoff_until());
}

void PoolScheduler::NoteLatency(const Call& call,
                                const AttemptReport& report,
                                base::TimePoint now) {
  // A timed-out attempt took at least this long. The bound is a usable sample
  // only when it exceeds the median; shorter ones would lower the estimate.
  const bool is_late =
      report.verdict == AttemptVerdict::kTimedOut &&
      report.latency > stage_time_estimator_
                           .EstimateOf(call.stage, base::Duration::max(), now)
                           .typical;
  if (report.verdict != AttemptVerdict::kSucceeded && !is_late)
    return;
  const bool is_light = call.load < kLightLoad;
  stage_time_estimator_.Note(
      call.stage, report.latency,
      is_light ? EndpointLoad::kLight : EndpointLoad::kHeavy, call.expected,
      now);
}

void PoolScheduler::AdjustLimit(PoolEndpoint& endpoint,
                                const Call& call,
                                const AttemptReport& report,
                                base::TimePoint now) {
  if (report.verdict == AttemptVerdict::kRefusedNotRun) {
    endpoint.limit().NoteOverload(call.expected, now);
    return;
  }
  const auto unloaded = stage_time_estimator_.UnloadedLatencyOf(call.stage);
  const bool has_latency = report.verdict == AttemptVerdict::kSucceeded ||
                           report.verdict == AttemptVerdict::kTimedOut;
  if (!unloaded || !has_latency)
    return;
  const double slowdown = static_cast<double>(report.latency.count()) /
                          std::max(1.0, static_cast<double>(unloaded->count()));
  // A timed-out attempt shorter than the unloaded latency says nothing about
  // the load.
  if (report.verdict == AttemptVerdict::kTimedOut && slowdown < 1)
    return;
  endpoint.limit().NoteAnswer(slowdown, call.load + 1, now);
}

void PoolScheduler::NotePeerLoad(const base::HostName& peer,
                                 uint32_t in_flight,
                                 base::TimePoint now) {
  peer_loads_.Note(peer, in_flight, now);
}

base::Duration PoolScheduler::EstimatedWait(const WorkClass& work_class) const {
  const auto* fair = std::get_if<FairQueue>(&queue_);
  if (fair == nullptr || fair->size() == 0)
    return base::Duration(0);
  // While work waits, the requests in flight are all that this host may have at
  // once, so they give its service rate.
  const auto concurrency =
      static_cast<int64_t>(std::max<size_t>(calls_.size(), 1));
  return fair->BacklogAhead(work_class) / concurrency;
}

StageEstimate PoolScheduler::EstimateOf(const StageId& stage,
                                        base::Duration declared,
                                        base::TimePoint now) const {
  return stage_time_estimator_.EstimateOf(stage, declared, now);
}

std::optional<base::TimePoint> PoolScheduler::NextWakeup() const {
  return queued() > 0 ? next_availability_ : std::nullopt;
}

const EndpointTarget* PoolScheduler::FindEndpoint(
    const base::EndpointName& name) const {
  const auto found = endpoint_indices_.find(name);
  return found == endpoint_indices_.end() ? nullptr
                                          : &endpoints_[found->second].target();
}

PoolEndpoint* PoolScheduler::FindEndpointOf(const Call& call) {
  const auto found = endpoint_indices_.find(call.endpoint);
  if (found == endpoint_indices_.end())
    return nullptr;
  PoolEndpoint& endpoint = endpoints_[found->second];
  return endpoint.target().incarnation == call.incarnation ? &endpoint
                                                           : nullptr;
}

PoolLoad PoolScheduler::Load() const {
  PoolLoad load;
  load.pool = pool_.name;
  load.endpoints = static_cast<uint32_t>(endpoints_.size());
  load.queued = static_cast<uint32_t>(queued());
  for (const PoolEndpoint& endpoint : endpoints_)
    load.in_flight += endpoint.in_flight();
  return load;
}

}  // namespace bilberry::policy
