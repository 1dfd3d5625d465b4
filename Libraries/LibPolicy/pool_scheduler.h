#pragma once

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "LibBase/random.h"
#include "LibDeclare/configuration.h"
#include "LibPolicy/fair_queue.h"
#include "LibPolicy/fifo_queue.h"
#include "LibPolicy/peer_load_view.h"
#include "LibPolicy/peer_loads.h"
#include "LibPolicy/pool_endpoint.h"
#include "LibPolicy/rank_shares.h"
#include "LibPolicy/round_robin.h"
#include "LibPolicy/stage_time_estimator.h"
#include "LibPolicy/two_choices.h"
#include "LibPolicy/work.h"

namespace bilberry::policy {

// Bound of the queue of one pool at one entry host.
inline constexpr size_t kMaxQueued = 10'000;

// Load of one pool, as one entry host sees it.
struct PoolLoad {
  base::PoolName pool;
  uint32_t endpoints = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
};

// Schedules the waiting work of one pool: decides which work is sent to which
// endpoint, and when. Deterministic: the time is passed in, and the random
// generator is seeded.
class PoolScheduler {
 public:
  PoolScheduler(declare::Pool pool,
                base::ZoneName own_zone,
                PolicyKind policy,
                uint64_t seed);

  // Applies a changed pool configuration and changed rank shares; waiting work
  // is kept.
  void Reconfigure(const declare::Pool& pool, const RankShares& shares);

  // Replaces the endpoints of the pool. Attempts in flight at a removed
  // endpoint still end by Finish().
  void SetEndpoints(const std::vector<EndpointTarget>& endpoints,
                    base::TimePoint now);

  OfferOutcome Offer(Work work, base::TimePoint now);

  // Removes a run's waiting work; false when the run has none.
  bool Withdraw(base::RunId run);

  // The next dispatch, if work waits and an endpoint has room; call it until
  // the result is empty. Each dispatch must be ended by exactly one Finish().
  std::optional<Dispatch> NextDispatch(base::TimePoint now);

  // Returns and clears the runs whose waiting work was dropped because it could
  // no longer meet its deadline.
  std::vector<base::RunId> TakeExpired();

  // Returns and clears the ejections and recoveries of endpoints.
  std::vector<HealthChange> TakeHealthChanges();

  void Finish(const AttemptReport& report, base::TimePoint now);

  // The endpoint asked this host to send no requests until `until`
  // (Retry-After). This does not affect its health. Unknown endpoints are
  // ignored.
  void NoteBackoff(const base::EndpointName& endpoint,
                   base::TimePoint until,
                   base::TimePoint now);

  // The earliest time at which any endpoint accepts requests again, with regard
  // to Retry-After only; `now` if one accepts them already or if the pool is
  // empty.
  base::TimePoint EarliestBackoffEnd(base::TimePoint now) const;

  // Records a peer's requests in flight at this pool, reported at `now`.
  void NotePeerLoad(const base::HostName& peer,
                    uint32_t in_flight,
                    base::TimePoint now);

  // Estimated queueing delay of new work of this class; always zero under the
  // baseline policy.
  base::Duration EstimatedWait(const WorkClass& work_class) const;

  // Estimated service time of a stage; `declared` until there are enough
  // measurements.
  StageEstimate EstimateOf(const StageId& stage,
                           base::Duration declared,
                           base::TimePoint now) const;

  // When NextDispatch() must be called again without any other event: the next
  // end of an ejection or Retry-After time.
  std::optional<base::TimePoint> NextWakeup() const;

  // Null when the endpoint is not in the pool.
  const EndpointTarget* FindEndpoint(const base::EndpointName& name) const;

  PoolLoad Load() const;

 private:
  // An attempt in flight.
  struct Call {
    base::EndpointName endpoint;
    base::Incarnation incarnation{};
    StageId stage;
    base::Duration expected{};
    double load = 0;  // Load of the endpoint when the attempt was sent.
  };

  using Queue = std::variant<FifoQueue, FairQueue>;
  using LoadBalancer = std::variant<RoundRobin, TwoChoices>;

  static Queue MakeQueue(PolicyKind policy);
  static LoadBalancer MakeLoadBalancer(PolicyKind policy);
  // Null when the endpoint has left the pool or has another incarnation.
  PoolEndpoint* FindEndpointOf(const Call& call);
  PeerLoadView CurrentPeerLoad() const;
  std::optional<size_t> ChooseEndpoint(const Work& work, base::TimePoint now);
  std::optional<size_t> ChooseRoundRobin(RoundRobin& round_robin,
                                         base::TimePoint now) const;
  void NoteLatency(const Call& call,
                   const AttemptReport& report,
                   base::TimePoint now);
  void AdjustLimit(PoolEndpoint& endpoint,
                   const Call& call,
                   const AttemptReport& report,
                   base::TimePoint now);
  void UpdateHealth(PoolEndpoint& endpoint,
                    const Call& call,
                    const AttemptReport& report,
                    base::TimePoint now);
  void NoteHealthyAnswer(PoolEndpoint& endpoint, base::TimePoint now);
  // Whether the pool can spare one more endpoint: at most half of its endpoints
  // may be out of service.
  bool MayEject(const PoolEndpoint& endpoint, base::TimePoint now) const;
  void UpdateNextAvailability(base::TimePoint now);
  size_t queued() const;
  // Null when the queue is empty.
  const Work* NextWork(base::TimePoint now);
  Work PopWork(base::TimePoint now);

  declare::Pool pool_;
  base::ZoneName own_zone_;
  base::Random random_;
  std::vector<PoolEndpoint> endpoints_;
  std::unordered_map<base::EndpointName, size_t> endpoint_indices_;
  std::vector<HealthChange> health_changes_;
  double limit_sum_ = 0;  // Sum over all endpoints.
  // When the next ejection or Retry-After time ends.
  std::optional<base::TimePoint> next_availability_;
  PeerLoads peer_loads_;
  Queue queue_;
  LoadBalancer load_balancer_;
  std::unordered_map<base::RunId, Call> calls_;
  StageTimeEstimator stage_time_estimator_;
};

}  // namespace bilberry::policy
