#include "LibPolicy/pool_endpoint.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace bilberry::policy {

namespace {

constexpr std::chrono::milliseconds kReportLifetime{500};

}  // namespace

PoolEndpoint::PoolEndpoint(EndpointTarget target, uint32_t slots)
    : target_(std::move(target)),
      name_hash_(std::hash<std::string>()(target_.name.value)),
      limit_(slots) {}

void PoolEndpoint::Begin(base::RunId run,
                         base::Duration expected,
                         base::TimePoint now) {
  calls_.push_back({run, expected, now});
}

void PoolEndpoint::End(base::RunId run) {
  std::erase_if(calls_, [run](const Call& call) { return call.run == run; });
}

void PoolEndpoint::NoteBackoff(base::TimePoint until) {
  backoff_until_ = std::max(backoff_until_, until);
}

void PoolEndpoint::NoteReport(uint32_t load, base::TimePoint now) {
  reported_peer_load_ = std::max(0.0, static_cast<double>(load) - in_flight());
  report_expires_at_ = now + kReportLifetime;
}

double PoolEndpoint::PeerLoadAt(const PeerLoadView& peers,
                                base::TimePoint now) const {
  return now < report_expires_at_ ? reported_peer_load_ : peers.mean_load;
}

bool PoolEndpoint::HasRoom(const PeerLoadView& peers,
                           base::TimePoint now) const {
  if (now < backoff_until_)
    return false;
  const HealthState health = health_.state(now);
  if (health == HealthState::kEjected)
    return false;
  if (health == HealthState::kHalfOpen)
    return calls_.empty();
  const double peer_load = PeerLoadAt(peers, now);
  const double own_limit = limit_.value() - peer_load;
  if (in_flight() + 1 <= own_limit)
    return true;
  if (peers.own_quota == OwnQuota::kExhausted)
    return false;
  // Each host may always use an equal part of the endpoint's limit, however
  // much load the other hosts have there.
  const size_t hosts = 1 + std::max<size_t>(peers.count, peer_load > 0 ? 1 : 0);
  return in_flight() + 1 <=
         std::ceil(limit_.value() / static_cast<double>(hosts));
}

double PoolEndpoint::ExpectedSlowdown(const PeerLoadView& peers,
                                      base::TimePoint now) const {
  // Earlier slowdowns must not keep the half-open probe from the endpoint.
  if (health_.state(now) == HealthState::kHalfOpen)
    return 0;
  double slowdown = limit_.SlowdownAt(now);
  if (!calls_.empty()) {
    // The age of the oldest unanswered request shows a slowdown before the
    // answers do.
    const Call& oldest = calls_.front();
    const double age = static_cast<double>((now - oldest.began).count());
    const double expected =
        std::max(1.0, static_cast<double>(oldest.expected.count()));
    slowdown = std::max(slowdown, age / expected);
  }
  const double load = in_flight() + PeerLoadAt(peers, now);
  return slowdown * (1 + load / limit_.value());
}

}  // namespace bilberry::policy
