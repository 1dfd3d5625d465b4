#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibForward/permit.h"

namespace bilberry::forward {

// Grants permits for the limits that this host owns, at each limit's rate.
// Unused permits don't accumulate, so there are no bursts. Pure: time is passed
// in.
class PermitIssuer {
 public:
  struct GrantRequest {
    base::EndpointName endpoint;
    base::Incarnation incarnation{};
    double per_second = 0;
    base::Duration longest_wait{};
    // Earliest begin of the first permit if this host has just become the
    // limit's owner: by then the permits granted by the previous owner are
    // over.
    base::TimePoint first_begins;
  };

  PermitDecision Grant(const GrantRequest& request, base::TimePoint now);

  bool Owns(const base::EndpointName& endpoint) const {
    return owned_.contains(endpoint);
  }
  // Drops the limits that this host no longer owns; returns their endpoints.
  std::vector<base::EndpointName> Drop(
      const std::function<bool(const base::EndpointName&)>& is_lost);

 private:
  struct OwnedLimit {
    base::Incarnation incarnation{};
    base::TimePoint first_begins;
    // Begin of the latest permit granted.
    std::optional<base::TimePoint> last_begins;
  };

  std::map<base::EndpointName, OwnedLimit> owned_;
};

// Returns the time between two permits. It is bounded, also for a rate of zero,
// so that requests still reach the endpoint and the end of its limit is
// noticed.
base::Duration PermitInterval(double per_second);

}  // namespace bilberry::forward
