#include "LibForward/stage_job_router.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// After this many lost peers a host does the job itself, in a fleet whose one
// cell leaves nobody else to ask.
constexpr uint32_t kMaxHostsLost = 2;
constexpr std::chrono::milliseconds kRetryAfterLoss{1000};
// A host that is no longer the dispatcher of a pool goes on as such for this
// long: others learn of its successor later than it does.
constexpr std::chrono::milliseconds kHandover{2000};

// The part of an endpoint's limit for the hosts that aren't its dispatcher.
constexpr double kShareOfOthers = 0.5;

}  // namespace

StageJobRouter::StageJobRouter(ForwardContext& context, PeerDirectory& peers)
    : context_(context), peers_(peers), dispatch_(context) {}

void StageJobRouter::Reconfigure(const ForwardConfiguration& configuration) {
  pools_.clear();
  for (const ForwardedPool& pool : configuration.pools) {
    if (pool.pieces)
      pools_.insert(pool.name);
  }
  peers_.SetPools(pools_);
  plan_.SetPools(pools_);
  dispatch_.Reconfigure(configuration);
  SetEndpoints(std::move(endpoints_));
  MonitorDispatchers();
}

void StageJobRouter::SetEndpoints(std::vector<ListedEndpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  const std::vector<Cell> earlier = plan_.cells();
  plan_.SetEndpoints(endpoints_);
  dispatch_.SetEndpoints(endpoints_);
  if (plan_.cells() == earlier)
    return;
  chooser_.SetCells(plan_.cells());
  MonitorDispatchers();
}

void StageJobRouter::MonitorDispatchers() {
  const HostAssignment& assignment = peers_.assignment();
  std::set<base::HostName> guarded;
  for (const Cell& cell : plan_.cells()) {
    for (const base::PoolName& pool : pools_) {
      const PeerHost& ideal = assignment.PreferredDispatcherOf({cell, pool});
      if (!assignment.IsOwn(ideal) &&
          assignment.IsOwn(assignment.DispatcherSuccessorOf({cell, pool})))
        guarded.insert(ideal.name);
    }
  }
  peers_.MonitorDispatchers(std::move(guarded));
}

std::optional<Cell> StageJobRouter::ChooseCell(const CellCriteria& wish,
                                               base::TimePoint now) const {
  return chooser_.Choose(
      wish,
      [this](const CellPool& at) {
        return peers_.assignment().IsSuspect(
            peers_.assignment().PreferredDispatcherOf(at).name);
      },
      now);
}

JobRequestId StageJobRouter::Ask(StageJob job, base::TimePoint now) {
  const JobRequestId id{++last_ask_};
  Question question;
  question.target = now + job.until_target;
  question.deadline = now + job.until_deadline;
  if (job.until_inputs_gone)
    question.inputs_gone = now + *job.until_inputs_gone;
  question.job = std::move(job);
  Place(id, questions_.emplace(id, std::move(question)).first->second, now);
  return id;
}

void StageJobRouter::Place(JobRequestId id,
                           Question& question,
                           base::TimePoint now) {
  StageJob job = question.job;
  job.until_target = question.target - now;
  job.until_deadline = question.deadline - now;
  if (question.inputs_gone)
    job.until_inputs_gone = *question.inputs_gone - now;
  const bool has_lost_many = question.hosts_lost > kMaxHostsLost;
  if (has_lost_many && !job.cell.HasAllZones()) {
    Fail(id, {JobFailureKind::kHostLost, kRetryAfterLoss});
    return;
  }
  const bool is_alone = !context_.options().shares_calls || has_lost_many;
  const PeerHost& host = is_alone
                             ? context_.options().own
                             : peers_.assignment().DispatcherOf(question.at());
  question.host = host.name;
  if (peers_.assignment().IsOwn(host)) {
    PlaceHere(id, question, std::move(job), now);
    return;
  }
  peers_.NoteUse(host.name, now);
  context_.Emit(SendPeerJob{id, host.address, std::move(job)});
}

void StageJobRouter::PlaceHere(JobRequestId id,
                               Question& question,
                               StageJob job,
                               base::TimePoint now) {
  question.local = Submit(question.at(), std::move(job), id, now);
  if (!question.local)
    Fail(id, {JobFailureKind::kNoEndpoint, kRetryAfterLoss});
}

// The dispatcher is the only one to call its endpoints, so that its pace is
// that of all hosts. Who calls in its place, since it is out of reach, may be
// one of many: all of them together get half of what endpoints have named.
std::optional<JobId> StageJobRouter::Submit(const CellPool& at,
                                            StageJob job,
                                            JobOrigin origin,
                                            base::TimePoint now) {
  const HostAssignment& assignment = peers_.assignment();
  dispatch_.SetLimitShare(
      at, assignment.IsOwn(assignment.DispatcherOf(at))
              ? 1
              : kShareOfOthers / static_cast<double>(assignment.host_count()));
  return dispatch_.Submit(at, std::move(job), origin, now);
}

void StageJobRouter::Fail(JobRequestId id, const JobFailure& failure) {
  outcomes_.emplace_back(id, failure);
  questions_.erase(id);
}

void StageJobRouter::Withdraw(JobRequestId id) {
  const auto node = questions_.extract(id);
  if (node.empty())
    return;
  const Question& question = node.mapped();
  if (question.local)
    dispatch_.Withdraw(question.at(), *question.local);
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
  // In place of a host that is gone, the next dispatcher frees them.
  if (host == nullptr || peers_.assignment().IsSuspect(host->name))
    host = &peers_.assignment().DispatcherOf(results.at);
  if (peers_.assignment().IsOwn(*host)) {
    dispatch_.Free(results.at, results.results, now);
    return;
  }
  context_.Emit(ReleasePeerResults{host->address, results.at, results.results});
}

// A dispatcher calls its endpoints as if they were its own: two at a time find
// them full. So a host takes jobs only if it is the dispatcher as far as it
// knows itself, whoever asks.
bool StageJobRouter::IsDispatcherOf(const CellPool& at, base::TimePoint now) {
  if (peers_.assignment().IsOwn(peers_.assignment().DispatcherOf(at))) {
    last_dispatched_[at] = now;
    return true;
  }
  const auto it = last_dispatched_.find(at);
  return it != last_dispatched_.end() && now <= it->second + kHandover;
}

void StageJobRouter::Handle(const PeerJobRequested& event,
                            base::TimePoint now) {
  const CellPool at{event.job.cell, event.job.pool};
  // In a fleet of one cell nobody else could do it.
  const bool is_welcome = at.cell.HasAllZones() || IsDispatcherOf(at, now);
  const auto job =
      is_welcome ? Submit(at, event.job, event.exchange, now) : std::nullopt;
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
  context_.Emit(AnswerPeerJob{
      event.exchange, JobFailure{JobFailureKind::kHostLost, kRetryAfterLoss},
      base::Duration(0)});
}

void StageJobRouter::Handle(const PeerJobCancelled& event) {
  const auto node = peer_jobs_.extract(event.exchange);
  if (!node.empty())
    dispatch_.Withdraw(node.mapped().first, node.mapped().second);
}

void StageJobRouter::Handle(const PeerResultsReleased& event,
                            base::TimePoint now) {
  dispatch_.Free(event.at, event.results, now);
}

void StageJobRouter::Handle(const PeerJobEnded& event, base::TimePoint now) {
  const auto it = questions_.find(event.ask);
  if (it == questions_.end())
    return;
  Question& question = it->second;
  peers_.NoteHeard(question.host, now);
  const auto* failure = std::get_if<JobFailure>(&event.outcome);
  if (failure != nullptr && failure->kind == JobFailureKind::kHostLost) {
    // Another cell is asked; where there is none, somebody has to do it.
    if (question.job.cell.HasAllZones()) {
      question.hosts_lost = kMaxHostsLost;
      Move(event.ask, question, now);
      return;
    }
    Fail(event.ask, *failure);
    return;
  }
  Finish(event.ask, event.outcome, event.backlog, now);
}

void StageJobRouter::Finish(JobRequestId id,
                            const JobOutcome& outcome,
                            base::Duration backlog,
                            base::TimePoint now) {
  const Question& question = questions_.at(id);
  chooser_.NoteBacklog(question.at(), backlog, now);
  if (const auto* failure = std::get_if<JobFailure>(&outcome)) {
    Fail(id, *failure);
    return;
  }
  outcomes_.emplace_back(id,
                         LocatedResults{question.host, question.at(),
                                        std::get<JobResults>(outcome).results});
  questions_.erase(id);
}

void StageJobRouter::Handle(const PeerJobLost& event, base::TimePoint now) {
  const auto it = questions_.find(event.ask);
  if (it == questions_.end())
    return;
  Question& question = it->second;
  // It was waited for until nobody needs it any more; that says nothing of the
  // host, which PeerFailureDetector looks after.
  if (now >= question.deadline) {
    Fail(event.ask, {JobFailureKind::kTooLate, kRetryAfterLoss});
    return;
  }
  peers_.MarkSuspect(question.host, event.detail, now);
  Move(event.ask, question, now);
}

void StageJobRouter::Move(JobRequestId id,
                          Question& question,
                          base::TimePoint now) {
  ++question.hosts_lost;
  Place(id, question, now);
}

void StageJobRouter::Handle(const PeerProbeFailed& event, base::TimePoint now) {
  if (peers_.Handle(event, now) == ProbeVerdict::kLost)
    MoveQuestionsFrom(event.host, now);
}

void StageJobRouter::MoveQuestionsFrom(const base::HostName& host,
                                       base::TimePoint now) {
  std::vector<JobRequestId> waiting;
  for (const auto& [id, question] : questions_) {
    if (!question.local && question.host == host)
      waiting.push_back(id);
  }
  for (const JobRequestId id : waiting) {
    context_.Emit(CancelPeerJob{id});
    Move(id, questions_.at(id), now);
  }
}

void StageJobRouter::Dispatch(base::TimePoint now) {
  dispatch_.Dispatch(now);
  for (FinishedJob& it : dispatch_.TakeOutcomes())
    GiveOutcome(std::move(it), now);
}

void StageJobRouter::GiveOutcome(FinishedJob job, base::TimePoint now) {
  std::visit(base::Overloaded{
                 [&](PeerExchangeId exchange) {
                   peer_jobs_.erase(exchange);
                   context_.Emit(AnswerPeerJob{exchange, std::move(job.outcome),
                                               job.backlog});
                 },
                 [&](JobRequestId ask) {
                   if (questions_.contains(ask))
                     Finish(ask, job.outcome, job.backlog, now);
                 },
             },
             job.origin);
}

std::optional<base::TimePoint> StageJobRouter::NextWakeup() const {
  return dispatch_.NextWakeup();
}

}  // namespace bilberry::forward
