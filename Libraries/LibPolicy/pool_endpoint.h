#pragma once

#include <cstdint>
#include <vector>

#include "LibPolicy/concurrency_limit.h"
#include "LibPolicy/endpoint_health.h"
#include "LibPolicy/peer_load_view.h"
#include "LibPolicy/work.h"

namespace bilberry::policy {

// Load, concurrency limit and health of one incarnation of an endpoint, as one
// entry host sees them.
class PoolEndpoint {
 public:
  PoolEndpoint(EndpointTarget target, uint32_t slots);

  const EndpointTarget& target() const { return target_; }
  // Equal at all entry hosts, for rendezvous hashing.
  uint64_t name_hash() const { return name_hash_; }
  uint32_t in_flight() const { return static_cast<uint32_t>(calls_.size()); }
  ConcurrencyLimit& limit() { return limit_; }
  const ConcurrencyLimit& limit() const { return limit_; }

  EndpointHealth& health() { return health_; }
  const EndpointHealth& health() const { return health_; }

  void Begin(base::RunId run, base::Duration expected, base::TimePoint now);
  void End(base::RunId run);

  // The endpoint asked this host to send no requests until `until`, by
  // Retry-After. The latest time asked for applies.
  void NoteBackoff(base::TimePoint until);
  base::TimePoint backoff_until() const { return backoff_until_; }

  // Records the load that the endpoint reported: its requests from all entry
  // hosts.
  void NoteReport(uint32_t load, base::TimePoint now);

  // Estimated load from the other entry hosts: from the endpoint's report while
  // it is recent, else the mean of the peers' loads.
  double PeerLoadAt(const PeerLoadView& peers, base::TimePoint now) const;

  // Whether this host may send one more request to the endpoint.
  bool HasRoom(const PeerLoadView& peers, base::TimePoint now) const;

  // Expected latency of one more request, divided by the latency at an unloaded
  // endpoint.
  double ExpectedSlowdown(const PeerLoadView& peers, base::TimePoint now) const;

 private:
  struct Call {
    base::RunId run{};
    base::Duration expected{};
    base::TimePoint began;
  };

  EndpointTarget target_;
  uint64_t name_hash_;
  std::vector<Call> calls_;  // Ordered by start, oldest first.
  ConcurrencyLimit limit_;
  EndpointHealth health_;
  double reported_peer_load_ = 0;
  base::TimePoint report_expires_at_;
  base::TimePoint backoff_until_;
};

}  // namespace bilberry::policy
