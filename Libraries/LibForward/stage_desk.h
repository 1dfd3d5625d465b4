#pragma once

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "LibForward/dispatcher_ring.h"
#include "LibForward/forward_context.h"
#include "LibForward/peer_watch.h"
#include "LibForward/stage_dispatcher.h"

namespace bilberry::forward {

// The results of a job, and the host that knows of them.
struct AskedResults {
  base::HostName host;
  base::PoolName pool;
  std::vector<StageResult> results;
};

using AskOutcome = std::variant<AskedResults, JobFailure>;

// Has jobs done by the dispatchers of their pools, here or at a peer, and does
// those that peers ask for. A peer that can't be reached is replaced by the
// next one.
class StageDesk {
 public:
  explicit StageDesk(ForwardContext& context);

  void Reconfigure(const ForwardConfiguration& configuration);
  void SetEndpoints(std::vector<ListedEndpoint> endpoints);
  void SetHosts(std::span<const PeerHost> hosts);

  // Ends in one outcome, unless it is withdrawn.
  AskId Ask(StageJob job, base::TimePoint now);
  void Withdraw(AskId id);
  std::vector<std::pair<AskId, AskOutcome>> TakeOutcomes();
  // The results have been read, or never will be.
  void Release(const AskedResults& results, base::TimePoint now);

  void Handle(const PeerJobAsked& event, base::TimePoint now);
  void Handle(const PeerJobLeft& event);
  void Handle(const PeerResultsRead& event, base::TimePoint now);
  void Handle(const PeerJobEnded& event, base::TimePoint now);
  void Handle(const PeerJobLost& event, base::TimePoint now);
  void Handle(const ResultsFreed& event);
  void Handle(const PeerAlive& event);
  void Handle(const PeerSilent& event, base::TimePoint now);
  void Handle(const StageCallEnded& event, base::TimePoint now);

  // Makes the calls and gives the answers that are due.
  void Dispatch(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // Whether the pool makes pieces and has an endpoint.
  bool CanServe(const base::PoolName& pool) const;

 private:
  // A question of this host that has no outcome yet.
  struct Question {
    StageJob job;
    base::TimePoint target;
    base::TimePoint deadline;
    std::optional<base::TimePoint> inputs_gone;
    base::HostName host;
    std::optional<JobId> local;  // If this host does it.
    uint32_t hosts_lost = 0;
  };

  // Whose job a dispatcher of this host works on.
  using Origin = std::variant<AskId, PeerExchangeId>;

  // A call that a dispatcher of this host has made.
  struct OpenCall {
    base::PoolName pool;
    StageCallId id{};  // The dispatcher's own.
    base::EndpointName endpoint;
    base::TimePoint sent;
    size_t pieces = 0;
    std::string requests;  // Ids, with spaces between.
    uint32_t room_percent = 0;
    uint32_t usable_percent = 0;
    uint32_t waiting_pieces = 0;
  };

  struct SubmittedJob {
    Origin origin;
    std::string request_id;
  };

  struct Pool {
    explicit Pool(const PieceLimits& limits) : dispatcher(limits) {}
    StageDispatcher dispatcher;
    std::map<JobId, SubmittedJob> submitted;
  };

  void Place(AskId id, Question& question, base::TimePoint now);
  JobId SubmitHere(Pool& pool,
                   StageJob job,
                   Origin origin,
                   base::TimePoint now);
  void LogCall(const OpenCall& call,
               const StageCallOutcome& outcome,
               base::TimePoint now);
  void GiveOutcomes(const base::PoolName& name, Pool& pool);
  void LogRefused(const base::PoolName& name,
                  const Pool& pool,
                  const std::string& request_id,
                  const JobFailure& failure);
  void GiveOutcome(const Origin& origin, JobOutcome outcome);
  void MakeCalls(const base::PoolName& name, Pool& pool, base::TimePoint now);
  Pool* FindPool(const base::PoolName& name);
  void WatchDispatchers();
  void AskPeers(base::TimePoint now);
  // Gives a question to the next host.
  void Move(AskId id, Question& question, base::TimePoint now);

  ForwardContext& context_;
  DispatcherRing ring_;
  PeerWatch watch_;
  std::map<base::PoolName, Pool> pools_;
  std::vector<ListedEndpoint> endpoints_;
  std::map<AskId, Question> questions_;
  std::map<PeerExchangeId, std::pair<base::PoolName, JobId>> peer_jobs_;
  // Which pool a call belongs to; calls are numbered over all pools.
  std::map<StageCallId, OpenCall> calls_;
  std::vector<std::pair<AskId, AskOutcome>> outcomes_;
  uint64_t last_ask_ = 0;
  uint64_t last_call_ = 0;
};

}  // namespace bilberry::forward
