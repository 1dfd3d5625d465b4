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
#include "LibPolicy/stage_times.h"
#include "LibPolicy/two_choices.h"
#include "LibPolicy/work.h"

namespace bilberry::policy {

// Work that may wait for one pool at one entry host.
inline constexpr size_t kMaxQueued = 10'000;

// The load of one pool as this host sees it.
struct PoolLoad {
  base::PoolName pool;
  uint32_t endpoints = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
};

// Decides, for one pool, which waiting work goes to which endpoint, and when.
// Pure: time is passed in, and randomness is seeded.
class PoolScheduler {
 public:
  PoolScheduler(declare::Pool pool,
                base::ZoneName own_zone,
                PolicyKind policy,
                uint64_t seed);

  // Takes on changed sizes and rules; work that waits is kept.
  void Reconfigure(const declare::Pool& pool, const RankShares& shares);

  // Replaces the endpoints that may be given work. What is in flight at one
  // that has gone still ends by Finish().
  void SetEndpoints(const std::vector<EndpointTarget>& endpoints,
                    base::TimePoint now);

  OfferOutcome Offer(Work work, base::TimePoint now);

  // Takes back work that waits; false when there is none of that run.
  bool Withdraw(base::RunId run);

  // The next decision, if work waits and an endpoint has room. Call until
  // empty. Each dispatch is ended by one Finish().
  std::optional<Dispatch> NextDispatch(base::TimePoint now);

  // Runs whose waiting work was dropped, since they can no longer meet their
  // deadline; empties the list.
  std::vector<base::RunId> TakeExpired();

  // Endpoints taken out of service or back; empties the list.
  std::vector<HealthChange> TakeHealthChanges();

  void Finish(const AttemptReport& report, base::TimePoint now);

  // The endpoint wants nothing from this host until then, which says nothing of
  // its health. Unknown endpoints are ignored.
  void NoteBackoff(const base::EndpointName& endpoint,
                   base::TimePoint until,
                   base::TimePoint now);

  // When the first endpoint may be given something, as far as they asked to be
  // left alone; `now` if one may be, or if there is none.
  base::TimePoint EarliestBackoffEnd(base::TimePoint now) const;

  // Notes what a peer has in flight at this pool, as it told just now.
  void NotePeerLoad(const base::HostName& peer,
                    uint32_t in_flight,
                    base::TimePoint now);

  // How long such work would wait if it came now; zero at the baseline.
  base::Duration EstimatedWait(const WorkClass& claim) const;

  // What a stage takes; `declared` until it has been learned.
  StageEstimate EstimateOf(const StageId& stage,
                           base::Duration declared,
                           base::TimePoint now) const;

  // When to call NextDispatch() again though nothing else has happened.
  std::optional<base::TimePoint> NextWakeup() const;

  // Null when the endpoint isn't in the pool.
  const EndpointTarget* FindEndpoint(const base::EndpointName& name) const;

  PoolLoad Load() const;

 private:
  // An attempt that has been sent.
  struct Call {
    base::EndpointName endpoint;
    base::Incarnation incarnation{};
    StageId stage;
    base::Duration expected{};
    double load = 0;  // Of the endpoint when it was sent.
  };

  using Queue = std::variant<FifoQueue, FairQueue>;
  using Choice = std::variant<RoundRobin, TwoChoices>;

  static Queue MakeQueue(PolicyKind policy);
  static Choice MakeChoice(PolicyKind policy);
  // Null when the endpoint or its incarnation has gone.
  PoolEndpoint* SlotOf(const Call& call);
  PeerLoadView Peers() const;
  std::optional<size_t> ChooseEndpoint(const Work& work, base::TimePoint now);
  std::optional<size_t> ChooseInTurn(RoundRobin& turns,
                                     base::TimePoint now) const;
  void NoteLatency(const Call& call,
                   const AttemptReport& report,
                   base::TimePoint now);
  void AdjustLimit(PoolEndpoint& slot,
                   const Call& call,
                   const AttemptReport& report,
                   base::TimePoint now);
  void JudgeHealth(PoolEndpoint& slot,
                   const Call& call,
                   const AttemptReport& report,
                   base::TimePoint now);
  void NoteSoundAnswer(PoolEndpoint& slot, base::TimePoint now);
  // Whether the pool can spare one more endpoint than those out of service.
  bool MayEject(const PoolEndpoint& slot, base::TimePoint now) const;
  void FindNextReturn(base::TimePoint now);
  size_t queued() const;
  // Null when nothing waits.
  const Work* NextWork(base::TimePoint now);
  Work PopWork(base::TimePoint now);

  declare::Pool pool_;
  base::ZoneName own_zone_;
  base::Random random_;
  std::vector<PoolEndpoint> slots_;
  std::unordered_map<base::EndpointName, size_t> slot_indices_;
  std::vector<HealthChange> health_changes_;
  double limit_sum_ = 0;  // Of all endpoints.
  // When the next ejection or quiet time ends.
  std::optional<base::TimePoint> next_return_;
  PeerLoads peer_shares_;
  Queue queue_;
  Choice choice_;
  std::unordered_map<base::RunId, Call> calls_;
  StageTimes stage_times_;
};

}  // namespace bilberry::policy
