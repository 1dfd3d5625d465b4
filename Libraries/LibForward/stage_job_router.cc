#include "LibForward/stage_job_router.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// After losing this many peers, a host runs the job itself if the fleet has a
// single cell, because no other cell is left to try.
constexpr uint32_t kMaxHostsLost = 2;
constexpr std::chrono::milliseconds kRetryAfterLoss{1000};
// A host that is no longer the dispatcher of a pool keeps accepting its jobs
// for this long, because other hosts learn of the successor later.
constexpr std::chrono::milliseconds kHandoverPeriod{2000};

// The fraction of an endpoint's rate limit for all hosts that aren't its
// dispatcher.
constexpr double kNonDispatcherShare = 0.5;

}  // namespace

StageJobRouter::StageJobRouter(ForwardContext& context, PeerDirectory& peers)
    : context_(context), peers_(peers), dispatchers_(context) {}

void StageJobRouter::Reconfigure(const ForwardConfiguration& configuration) {
  pools_.clear();
  for (const ForwardedPool& pool : configuration.pools) {
    if (pool.pieces)
      pools_.insert(pool.name);
  }
  peers_.SetPools(pools_);
  plan_.SetPools(pools_);
  dispatchers_.Reconfigure(configuration);
  SetEndpoints(std::move(endpoints_));
  MonitorDispatchers();
}

void StageJobRouter::SetEndpoints(std::vector<ListedEndpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  const std::vector<Cell> earlier = plan_.cells();
  plan_.SetEndpoints(endpoints_);
  dispatchers_.SetEndpoints(endpoints_);
  if (plan_.cells() == earlier)
    return;
  chooser_.SetCells(plan_.cells());
  MonitorDispatchers();
}

void StageJobRouter::MonitorDispatchers() {
  const HostAssignment& assignment = peers_.assignment();
  std::set<base::HostName> monitored;
  for (const Cell& cell : plan_.cells()) {
    for (const base::PoolName& pool : pools_) {
      const PeerHost& preferred =
          assignment.PreferredDispatcherOf({cell, pool});
      if (!assignment.IsOwn(preferred) &&
          assignment.IsOwn(assignment.DispatcherSuccessorOf({cell, pool})))
        monitored.insert(preferred.name);
    }
  }
  peers_.MonitorDispatchers(std::move(monitored));
}

std::optional<Cell> StageJobRouter::ChooseCell(const CellCriteria& criteria,
                                               base::TimePoint now) const {
  return chooser_.Choose(
      criteria,
      [this](const CellPool& at) {
        return peers_.assignment().IsSuspect(
            peers_.assignment().PreferredDispatcherOf(at).name);
      },
      now);
}

JobRequestId StageJobRouter::Request(StageJob job, base::TimePoint now) {
  const JobRequestId id{++last_request_};
  PendingJob pending;
  pending.target = now + job.until_target;
  pending.deadline = now + job.until_deadline;
  if (job.until_inputs_expire)
    pending.inputs_expire = now + *job.until_inputs_expire;
  pending.job = std::move(job);
  Route(id, pending_jobs_.emplace(id, std::move(pending)).first->second, now);
  return id;
}

void StageJobRouter::Route(JobRequestId id,
                           PendingJob& pending,
                           base::TimePoint now) {
  StageJob job = pending.job;
  job.until_target = pending.target - now;
  job.until_deadline = pending.deadline - now;
  if (pending.inputs_expire)
    job.until_inputs_expire = *pending.inputs_expire - now;
  const bool has_lost_many = pending.hosts_lost > kMaxHostsLost;
  if (has_lost_many && !job.cell.HasAllZones()) {
    Fail(id, {JobFailureKind::kHostLost, kRetryAfterLoss});
    return;
  }
  const bool runs_locally = !context_.options().shares_calls || has_lost_many;
  const PeerHost& host = runs_locally
                             ? context_.options().own
                             : peers_.assignment().DispatcherOf(pending.at());
  pending.host = host.name;
  if (peers_.assignment().IsOwn(host)) {
    RunLocally(id, pending, std::move(job), now);
    return;
  }
  peers_.NoteUse(host.name, now);
  context_.Emit(SendPeerJob{id, host.address, std::move(job)});
}

void StageJobRouter::RunLocally(JobRequestId id,
                                PendingJob& pending,
                                StageJob job,
                                base::TimePoint now) {
  pending.local = Submit(pending.at(), std::move(job), id, now);
  if (!pending.local)
    Fail(id, {JobFailureKind::kNoEndpoint, kRetryAfterLoss});
}

// The dispatcher is normally the only host to call its endpoints, so it may use
// their whole rate limit. Hosts that call because they can't reach the
// dispatcher may be many: all of them together get half of the limit.
std::optional<JobId> StageJobRouter::Submit(const CellPool& at,
                                            StageJob job,
                                            JobOrigin origin,
                                            base::TimePoint now) {
  const HostAssignment& assignment = peers_.assignment();
  dispatchers_.SetLimitShare(
      at,
      assignment.IsOwn(assignment.DispatcherOf(at))
          ? 1
          : kNonDispatcherShare / static_cast<double>(assignment.host_count()));
  return dispatchers_.Submit(at, std::move(job), origin, now);
}

void StageJobRouter::Fail(JobRequestId id, const JobFailure& failure) {
  outcomes_.emplace_back(id, failure);
  pending_jobs_.erase(id);
}

void StageJobRouter::Withdraw(JobRequestId id) {
  const auto node = pending_jobs_.extract(id);
  if (node.empty())
    return;
  const PendingJob& pending = node.mapped();
  if (pending.local)
    dispatchers_.Withdraw(pending.at(), *pending.local);
  else
    context_.Emit(CancelPeerJob{id});
}

std::vector<std::pair<JobRequestId, JobRequestOutcome>>
StageJobRouter::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

void StageJobRouter::Release(const LocatedResults& results,
                             base::TimePoint now) {
  const PeerHost* host = peers_.assignment().Find(results.host);
  // If the host is gone, the next dispatcher frees the results.
  if (host == nullptr || peers_.assignment().IsSuspect(host->name))
    host = &peers_.assignment().DispatcherOf(results.at);
  if (peers_.assignment().IsOwn(*host)) {
    dispatchers_.Free(results.at, results.results, now);
    return;
  }
  context_.Emit(ReleasePeerResults{host->address, results.at, results.results});
}

// A dispatcher assumes that nobody else calls its endpoints; two at a time
// would overload them. A host therefore accepts jobs only if it considers
// itself the dispatcher, whichever peer asks.
bool StageJobRouter::IsDispatcherOf(const CellPool& at, base::TimePoint now) {
  if (peers_.assignment().IsOwn(peers_.assignment().DispatcherOf(at))) {
    last_dispatched_[at] = now;
    return true;
  }
  const auto it = last_dispatched_.find(at);
  return it != last_dispatched_.end() && now <= it->second + kHandoverPeriod;
}

void StageJobRouter::Handle(const PeerJobRequested& event,
                            base::TimePoint now) {
  const CellPool at{event.job.cell, event.job.pool};
  // In a fleet with a single cell there is no other cell to fall back to.
  const bool is_accepted = !context_.conditions().reach.IsCutFrom(at.pool) &&
                           (at.cell.HasAllZones() || IsDispatcherOf(at, now));
  const auto job =
      is_accepted ? Submit(at, event.job, event.exchange, now) : std::nullopt;
  if (job) {
    peer_jobs_.emplace(event.exchange, std::pair(at, *job));
    return;
  }
  context_.Log(
      base::LogEventId::kJobRefused, event.job.request_id,
      {{"pool", at.pool.value},
       {"cell", at.cell.zone.value},
       {"reason", "not_dispatcher"},
       {"dispatcher", peers_.assignment().DispatcherOf(at).name.value}});
  Decline(event.exchange);
}

void StageJobRouter::Decline(PeerExchangeId exchange) {
  context_.Emit(AnswerPeerJob{
      exchange, JobFailure{JobFailureKind::kHostLost, kRetryAfterLoss},
      base::Duration(0)});
}

void StageJobRouter::GiveUpUnreachable() {
  for (auto it = peer_jobs_.begin(); it != peer_jobs_.end();) {
    const auto& [at, job] = it->second;
    if (!context_.conditions().reach.IsCutFrom(at.pool)) {
      ++it;
      continue;
    }
    dispatchers_.Withdraw(at, job);
    Decline(it->first);
    it = peer_jobs_.erase(it);
  }
}

void StageJobRouter::Handle(const PeerJobCancelled& event) {
  const auto node = peer_jobs_.extract(event.exchange);
  if (!node.empty())
    dispatchers_.Withdraw(node.mapped().first, node.mapped().second);
}

void StageJobRouter::Handle(const PeerResultsReleased& event,
                            base::TimePoint now) {
  dispatchers_.Free(event.at, event.results, now);
}

void StageJobRouter::Handle(const PeerJobEnded& event, base::TimePoint now) {
  const auto it = pending_jobs_.find(event.id);
  if (it == pending_jobs_.end())
    return;
  PendingJob& pending = it->second;
  peers_.NoteHeard(pending.host, now);
  const auto* failure = std::get_if<JobFailure>(&event.outcome);
  if (failure != nullptr && failure->kind == JobFailureKind::kHostLost) {
    // The caller falls back to another cell. Without one, the host's successor
    // takes over, or at last this host.
    if (pending.job.cell.HasAllZones()) {
      peers_.MarkSuspect(pending.host, "declined", now);
      Reroute(event.id, pending, now);
      return;
    }
    Fail(event.id, *failure);
    return;
  }
  Finish(event.id, event.outcome, event.backlog, now);
}

void StageJobRouter::Finish(JobRequestId id,
                            const JobOutcome& outcome,
                            base::Duration backlog,
                            base::TimePoint now) {
  const PendingJob& pending = pending_jobs_.at(id);
  chooser_.NoteBacklog(pending.at(), backlog, now);
  if (const auto* failure = std::get_if<JobFailure>(&outcome)) {
    Fail(id, *failure);
    return;
  }
  outcomes_.emplace_back(id,
                         LocatedResults{pending.host, pending.at(),
                                        std::get<JobResults>(outcome).results});
  pending_jobs_.erase(id);
}

void StageJobRouter::Handle(const PeerJobLost& event, base::TimePoint now) {
  const auto it = pending_jobs_.find(event.id);
  if (it == pending_jobs_.end())
    return;
  PendingJob& pending = it->second;
  // The job's own deadline has passed. This doesn't mean that the host is gone;
  // PeerFailureDetector decides that.
  if (now >= pending.deadline) {
    Fail(event.id, {JobFailureKind::kTooLate, kRetryAfterLoss});
    return;
  }
  peers_.MarkSuspect(pending.host, event.detail, now);
  Reroute(event.id, pending, now);
}

void StageJobRouter::Reroute(JobRequestId id,
                             PendingJob& pending,
                             base::TimePoint now) {
  ++pending.hosts_lost;
  Route(id, pending, now);
}

void StageJobRouter::Handle(const PeerProbeFailed& event, base::TimePoint now) {
  if (peers_.Handle(event, now) == ProbeVerdict::kLost)
    RerouteJobsFrom(event.host, now);
}

void StageJobRouter::RerouteJobsFrom(const base::HostName& host,
                                     base::TimePoint now) {
  std::vector<JobRequestId> waiting;
  for (const auto& [id, pending] : pending_jobs_) {
    if (!pending.local && pending.host == host)
      waiting.push_back(id);
  }
  for (const JobRequestId id : waiting) {
    context_.Emit(CancelPeerJob{id});
    Reroute(id, pending_jobs_.at(id), now);
  }
}

void StageJobRouter::Dispatch(base::TimePoint now) {
  dispatchers_.Dispatch(now);
  for (FinishedJob& it : dispatchers_.TakeOutcomes())
    DeliverOutcome(std::move(it), now);
}

void StageJobRouter::DeliverOutcome(FinishedJob job, base::TimePoint now) {
  std::visit(base::Overloaded{
                 [&](PeerExchangeId exchange) {
                   peer_jobs_.erase(exchange);
                   context_.Emit(AnswerPeerJob{exchange, std::move(job.outcome),
                                               job.backlog});
                 },
                 [&](JobRequestId id) {
                   if (pending_jobs_.contains(id))
                     Finish(id, job.outcome, job.backlog, now);
                 },
             },
             job.origin);
}

std::optional<base::TimePoint> StageJobRouter::NextWakeup() const {
  return dispatchers_.NextWakeup();
}

}  // namespace bilberry::forward
