#include "LibForward/permit_issuer.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

constexpr std::chrono::seconds kLongestInterval{10};

}  // namespace

base::Duration PermitInterval(double per_second) {
  const std::chrono::duration<double> longest = kLongestInterval;
  if (per_second * longest.count() <= 1)
    return kLongestInterval;
  return std::chrono::ceil<base::Duration>(
      std::chrono::duration<double>(1 / per_second));
}

PermitDecision PermitIssuer::Grant(const GrantRequest& request,
                                   base::TimePoint now) {
  const auto [it, is_new] = owned_.try_emplace(
      request.endpoint,
      OwnedLimit{request.incarnation, request.first_begins, std::nullopt});
  OwnedLimit& owned = it->second;
  if (owned.incarnation != request.incarnation)
    owned = {request.incarnation, now, std::nullopt};
  base::TimePoint begins = std::max(now, owned.first_begins);
  // The interval is computed anew, since the limit may have changed.
  if (owned.last_begins)
    begins =
        std::max(now, *owned.last_begins + PermitInterval(request.per_second));
  if (begins - now > request.longest_wait)
    return PermitRefused{begins - now};
  owned.last_begins = begins;
  return PermitGranted{begins - now};
}

std::vector<base::EndpointName> PermitIssuer::Drop(
    const std::function<bool(const base::EndpointName&)>& is_lost) {
  std::vector<base::EndpointName> dropped;
  for (auto it = owned_.begin(); it != owned_.end();) {
    if (!is_lost(it->first)) {
      ++it;
      continue;
    }
    dropped.push_back(it->first);
    it = owned_.erase(it);
  }
  return dropped;
}

}  // namespace bilberry::forward
