#pragma once

#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "LibForward/cell_chooser.h"
#include "LibForward/cell_plan.h"
#include "LibForward/forward_context.h"
#include "LibForward/local_dispatchers.h"
#include "LibForward/peer_directory.h"

namespace bilberry::forward {

// The results of a job, and the host whose dispatcher keeps track of them.
struct LocatedResults {
  base::HostName host;
  CellPool at;
  std::vector<StageResult> results;
};

using JobRequestOutcome = std::variant<LocatedResults, JobFailure>;

// Routes stage jobs to the dispatchers of their pools, on this host or on a
// peer, and runs the jobs that peers send here. If a peer can't be reached, the
// job moves to its successor, which may decline.
class StageJobRouter {
 public:
  StageJobRouter(ForwardContext& context, PeerDirectory& peers);

  void Reconfigure(const ForwardConfiguration& configuration);
  void SetEndpoints(std::vector<ListedEndpoint> endpoints);
  // Updates which dispatchers are probed after the host list has changed.
  void MonitorDispatchers();

  // The best cell for a request's pieces now; empty if every cell was tried.
  std::optional<Cell> ChooseCell(const CellCriteria& criteria,
                                 base::TimePoint now) const;

  // Ends in one outcome, unless the job is withdrawn.
  JobRequestId Request(StageJob job, base::TimePoint now);
  void Withdraw(JobRequestId id);
  std::vector<std::pair<JobRequestId, JobRequestOutcome>> TakeOutcomes();
  // Releases results that have been read or will never be read.
  void Release(const LocatedResults& results, base::TimePoint now);

  void Handle(const PeerJobRequested& event, base::TimePoint now);
  void Handle(const PeerJobCancelled& event);
  void Handle(const PeerResultsReleased& event, base::TimePoint now);
  void Handle(const PeerJobEnded& event, base::TimePoint now);
  void Handle(const PeerJobLost& event, base::TimePoint now);
  void Handle(const ResultsFreed& event) { dispatchers_.Handle(event); }
  void Handle(const PeerProbeFailed& event, base::TimePoint now);
  void Handle(const StageCallEnded& event, base::TimePoint now) {
    dispatchers_.Handle(event, now);
  }

  // Hands the jobs of peers back whose endpoints this host can't reach.
  void GiveUpUnreachable();
  // Starts the calls and sends the answers that are due.
  void Dispatch(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // The number of jobs of peers in progress on this host.
  size_t peer_job_count() const { return peer_jobs_.size(); }

 private:
  // A job of this host that has no outcome yet.
  struct PendingJob {
    StageJob job;
    base::TimePoint target;
    base::TimePoint deadline;
    std::optional<base::TimePoint> inputs_expire;
    base::HostName host;
    std::optional<JobId> local;  // Set if this host runs the job.
    uint32_t hosts_lost = 0;

    CellPool at() const { return {job.cell, job.pool}; }
  };

  void Route(JobRequestId id, PendingJob& pending, base::TimePoint now);
  void RunLocally(JobRequestId id,
                  PendingJob& pending,
                  StageJob job,
                  base::TimePoint now);
  // Sends the job to the next host.
  void Reroute(JobRequestId id, PendingJob& pending, base::TimePoint now);
  void Fail(JobRequestId id, const JobFailure& failure);
  // `backlog` is the queueing time that the dispatcher reported.
  void Finish(JobRequestId id,
              const JobOutcome& outcome,
              base::Duration backlog,
              base::TimePoint now);
  bool IsDispatcherOf(const CellPool& at, base::TimePoint now);
  void Decline(PeerExchangeId exchange);
  // Ends in one outcome. Returns nothing if the pool doesn't produce pieces.
  std::optional<JobId> Submit(const CellPool& at,
                              StageJob job,
                              JobOrigin origin,
                              base::TimePoint now);
  void RerouteJobsFrom(const base::HostName& host, base::TimePoint now);
  void DeliverOutcome(FinishedJob job, base::TimePoint now);

  ForwardContext& context_;
  PeerDirectory& peers_;
  CellPlan plan_;
  CellChooser chooser_;
  LocalDispatchers dispatchers_;
  std::set<base::PoolName> pools_;  // Pools whose endpoints produce pieces.
  std::vector<ListedEndpoint> endpoints_;
  std::map<JobRequestId, PendingJob> pending_jobs_;
  std::map<PeerExchangeId, std::pair<CellPool, JobId>> peer_jobs_;
  // When this host was last the dispatcher of each pool it has served.
  std::map<CellPool, base::TimePoint> last_dispatched_;
  std::vector<std::pair<JobRequestId, JobRequestOutcome>> outcomes_;
  uint64_t last_request_ = 0;
};

}  // namespace bilberry::forward
