#include "LibForward/placement_schedulers.h"

#include <utility>

namespace bilberry::forward {

uint32_t PlacementSchedulers::SlotsOf(const base::PoolName& pool) const {
  const ForwardedPool* found =
      configuration_ ? configuration_->FindPool(pool) : nullptr;
  return found == nullptr ? 0 : found->slots;
}

void PlacementSchedulers::SetConfiguration(
    std::shared_ptr<const ForwardConfiguration> configuration) {
  configuration_ = std::move(configuration);
  for (auto& [domain, scheduler] : schedulers_)
    scheduler.SetSlots(SlotsOf(domain.pool));
}

void PlacementSchedulers::SetEndpoints(
    std::span<const ListedEndpoint> endpoints) {
  endpoints_.clear();
  for (const ListedEndpoint& it : endpoints)
    endpoints_[{it.pool, it.zone}].push_back(it);
  std::erase_if(schedulers_,
                [this](const auto& it) { return !Knows(it.first); });
  for (auto& [domain, scheduler] : schedulers_)
    scheduler.SetEndpoints(endpoints_.at(domain));
}

PlacementScheduler& PlacementSchedulers::SchedulerOf(
    const PlacementDomain& domain) {
  const auto [it, is_new] = schedulers_.try_emplace(domain);
  if (is_new) {
    it->second.SetSlots(SlotsOf(domain.pool));
    it->second.SetEndpoints(endpoints_.at(domain));
  }
  return it->second;
}

PlacementAnswer PlacementSchedulers::Place(const PlacementRequest& request,
                                           base::TimePoint now) {
  PlacementScheduler& scheduler = SchedulerOf(request.domain);
  PlacementAnswer answer;
  answer.decision = scheduler.Place(
      request, chooser_.PlacementCandidates(request.domain, now), now);
  answer.wait = scheduler.ExpectedWait(now);
  return answer;
}

void PlacementSchedulers::Apply(const PlacementReport& report,
                                base::TimePoint now) {
  if (!Knows(report.domain))
    return;
  PlacementScheduler& scheduler = SchedulerOf(report.domain);
  for (const RunReport& it : report.runs)
    scheduler.Apply(it, now);
}

void PlacementSchedulers::KeepOnly(
    const std::function<bool(const PlacementDomain&)>& is_owned) {
  std::erase_if(schedulers_,
                [&is_owned](const auto& it) { return !is_owned(it.first); });
}

std::vector<EndpointPlacementStatus> PlacementSchedulers::Status(
    base::TimePoint now) const {
  std::vector<EndpointPlacementStatus> all;
  for (const auto& [domain, scheduler] : schedulers_) {
    for (EndpointPlacementStatus& it : scheduler.Status(now)) {
      it.domain = domain;
      all.push_back(std::move(it));
    }
  }
  return all;
}

}  // namespace bilberry::forward
