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

// The results of a job, and the host that knows of them.
struct LocatedResults {
  base::HostName host;
  CellPool at;
  std::vector<StageResult> results;
};

using JobRequestOutcome = std::variant<LocatedResults, JobFailure>;

// Has jobs done by the dispatchers of their pools, here or at a peer, and does
// those that peers ask for. A peer that can't be reached is replaced by its
// successor, if that one agrees.
class StageJobRouter {
 public:
  StageJobRouter(ForwardContext& context, PeerDirectory& peers);

  void Reconfigure(const ForwardConfiguration& configuration);
  void SetEndpoints(std::vector<ListedEndpoint> endpoints);
  // The hosts that are known have changed.
  void MonitorDispatchers();

  // Where a request's pieces are best made now; empty when each cell has been
  // tried.
  std::optional<Cell> ChooseCell(const CellCriteria& wish,
                                 base::TimePoint now) const;

  // Ends in one outcome, unless it is withdrawn.
  JobRequestId Ask(StageJob job, base::TimePoint now);
  void Withdraw(JobRequestId id);
  std::vector<std::pair<JobRequestId, JobRequestOutcome>> TakeOutcomes();
  // The results have been read, or never will be.
  void Release(const LocatedResults& results, base::TimePoint now);

  void Handle(const PeerJobRequested& event, base::TimePoint now);
  void Handle(const PeerJobCancelled& event);
  void Handle(const PeerResultsReleased& event, base::TimePoint now);
  void Handle(const PeerJobEnded& event, base::TimePoint now);
  void Handle(const PeerJobLost& event, base::TimePoint now);
  void Handle(const ResultsFreed& event) { dispatch_.Handle(event); }
  void Handle(const PeerProbeFailed& event, base::TimePoint now);
  void Handle(const StageCallEnded& event, base::TimePoint now) {
    dispatch_.Handle(event, now);
  }

  // Makes the calls and gives the answers that are due.
  void Dispatch(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

  // Peers' jobs that this host works on.
  size_t peer_job_count() const { return peer_jobs_.size(); }

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

    CellPool at() const { return {job.cell, job.pool}; }
  };

  void Place(JobRequestId id, Question& question, base::TimePoint now);
  void PlaceHere(JobRequestId id,
                 Question& question,
                 StageJob job,
                 base::TimePoint now);
  // Gives a question to the next host.
  void Move(JobRequestId id, Question& question, base::TimePoint now);
  void Fail(JobRequestId id, const JobFailure& failure);
  // `backlog` is the dispatcher's.
  void Finish(JobRequestId id,
              const JobOutcome& outcome,
              base::Duration backlog,
              base::TimePoint now);
  bool IsDispatcherOf(const CellPool& at, base::TimePoint now);
  // Ends in one outcome. Empty when the pool makes no pieces.
  std::optional<JobId> Submit(const CellPool& at,
                              StageJob job,
                              JobOrigin origin,
                              base::TimePoint now);
  void MoveQuestionsFrom(const base::HostName& host, base::TimePoint now);
  void GiveOutcome(FinishedJob job, base::TimePoint now);

  ForwardContext& context_;
  PeerDirectory& peers_;
  CellPlan plan_;
  CellChooser chooser_;
  LocalDispatchers dispatch_;
  std::set<base::PoolName> pools_;  // Those that make pieces.
  std::vector<ListedEndpoint> endpoints_;
  std::map<JobRequestId, Question> questions_;
  std::map<PeerExchangeId, std::pair<CellPool, JobId>> peer_jobs_;
  // When this host was last the dispatcher, for those that it works for.
  std::map<CellPool, base::TimePoint> last_dispatched_;
  std::vector<std::pair<JobRequestId, JobRequestOutcome>> outcomes_;
  uint64_t last_ask_ = 0;
};

}  // namespace bilberry::forward
