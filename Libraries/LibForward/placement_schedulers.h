#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_configuration.h"
#include "LibForward/placement_scheduler.h"

namespace bilberry::forward {

// The schedulers of the placement domains that this host owns. A scheduler is
// created by the first request or report.
class PlacementSchedulers {
 public:
  // `chooser` must outlive this object.
  explicit PlacementSchedulers(EndpointChooser& chooser) : chooser_(chooser) {}

  void SetConfiguration(
      std::shared_ptr<const ForwardConfiguration> configuration);
  void SetEndpoints(std::span<const ListedEndpoint> endpoints);
  // Whether the domain has listed endpoints.
  bool Knows(const PlacementDomain& domain) const {
    return endpoints_.contains(domain);
  }

  // The domain must be known.
  PlacementAnswer Place(const PlacementRequest& request, base::TimePoint now);
  void Apply(const PlacementReport& report, base::TimePoint now);
  // Drops the schedulers of the domains for which `is_owned` is false.
  void KeepOnly(const std::function<bool(const PlacementDomain&)>& is_owned);

  std::vector<EndpointPlacementStatus> Status(base::TimePoint now) const;

 private:
  PlacementScheduler& SchedulerOf(const PlacementDomain& domain);
  uint32_t SlotsOf(const base::PoolName& pool) const;

  EndpointChooser& chooser_;
  std::shared_ptr<const ForwardConfiguration> configuration_;
  std::map<PlacementDomain, std::vector<ListedEndpoint>> endpoints_;
  std::map<PlacementDomain, PlacementScheduler> schedulers_;
};

}  // namespace bilberry::forward
