#pragma once

#include <cstdint>
#include <vector>

#include "LibPolicy/concurrency_limit.h"
#include "LibPolicy/endpoint_health.h"
#include "LibPolicy/peer_load_view.h"
#include "LibPolicy/work.h"

namespace bilberry::policy {

// One incarnation of an endpoint, as one entry host sees it.
class PoolEndpoint {
 public:
  PoolEndpoint(EndpointTarget target, uint32_t slots);

  const EndpointTarget& target() const { return target_; }
  // Alike at all entry hosts.
  uint64_t name_hash() const { return name_hash_; }
  uint32_t in_flight() const { return static_cast<uint32_t>(calls_.size()); }
  ConcurrencyLimit& limit() { return limit_; }
  const ConcurrencyLimit& limit() const { return limit_; }

  EndpointHealth& health() { return health_; }
  const EndpointHealth& health() const { return health_; }

  void Begin(base::RunId run, base::Duration expected, base::TimePoint now);
  void End(base::RunId run);

  // The endpoint wants nothing from this host until then; of several times
  // asked for, the last end counts.
  void NoteBackoff(base::TimePoint until);
  base::TimePoint backoff_until() const { return quiet_until_; }

  // Notes what the endpoint said that it had, of all entry hosts.
  void NoteReport(uint32_t load, base::TimePoint now);

  // What other entry hosts have there: as reported, or else as their shares
  // make it probable.
  double PeerLoadAt(const PeerLoadView& peers, base::TimePoint now) const;

  // Whether it may be given one more request by this host.
  bool HasRoom(const PeerLoadView& peers, base::TimePoint now) const;

  // How many times longer than at an unloaded endpoint one more request is
  // expected to take.
  double ExpectedSlowdown(const PeerLoadView& peers, base::TimePoint now) const;

 private:
  struct Call {
    base::RunId run{};
    base::Duration expected{};
    base::TimePoint began;
  };

  EndpointTarget target_;
  uint64_t name_hash_;
  std::vector<Call> calls_;  // The oldest first.
  ConcurrencyLimit limit_;
  EndpointHealth health_;
  double others_reported_ = 0;
  base::TimePoint trust_report_until_;
  base::TimePoint quiet_until_;
};

}  // namespace bilberry::policy
