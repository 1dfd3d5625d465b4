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

PermitDecision PermitIssuer::Ask(const Wish& wish, base::TimePoint now) {
  const auto [it, is_new] = kept_.try_emplace(
      wish.endpoint, Kept{wish.incarnation, wish.first_begins, std::nullopt});
  Kept& kept = it->second;
  if (kept.incarnation != wish.incarnation)
    kept = {wish.incarnation, now, std::nullopt};
  base::TimePoint begins = std::max(now, kept.first_begins);
  // The limit may have changed since.
  if (kept.last_begins)
    begins = std::max(now, *kept.last_begins + PermitInterval(wish.per_second));
  if (begins - now > wish.longest_wait)
    return PermitRefused{begins - now};
  kept.last_begins = begins;
  return PermitGranted{begins - now};
}

std::vector<base::EndpointName> PermitIssuer::Drop(
    const std::function<bool(const base::EndpointName&)>& is_lost) {
  std::vector<base::EndpointName> dropped;
  for (auto it = kept_.begin(); it != kept_.end();) {
    if (!is_lost(it->first)) {
      ++it;
      continue;
    }
    dropped.push_back(it->first);
    it = kept_.erase(it);
  }
  return dropped;
}

}  // namespace bilberry::forward
