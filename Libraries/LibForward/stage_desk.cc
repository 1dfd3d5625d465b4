#include "LibForward/stage_desk.h"

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

StageDesk::StageDesk(ForwardContext& context, PeerDesk& peers)
    : context_(context), peers_(peers), dispatch_(context) {}

void StageDesk::Reconfigure(const ForwardConfiguration& configuration) {
  pools_.clear();
  for (const ForwardedPool& pool : configuration.pools) {
    if (pool.pieces)
      pools_.insert(pool.name);
  }
  peers_.SetPools(pools_);
  plan_.SetPools(pools_);
  dispatch_.Reconfigure(configuration);
  SetEndpoints(std::move(endpoints_));
  GuardDispatchers();
}

void StageDesk::SetEndpoints(std::vector<ListedEndpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  const std::vector<Cell> earlier = plan_.cells();
  plan_.SetEndpoints(endpoints_);
  dispatch_.SetEndpoints(endpoints_);
  if (plan_.cells() == earlier)
    return;
  chooser_.SetCells(plan_.cells());
  GuardDispatchers();
}

void StageDesk::GuardDispatchers() {
  const HostRing& ring = peers_.ring();
  std::set<base::HostName> guarded;
  for (const Cell& cell : plan_.cells()) {
    for (const base::PoolName& pool : pools_) {
      const PeerHost& ideal = ring.IdealDispatcherOf({cell, pool});
      if (!ring.IsOwn(ideal) && ring.IsOwn(ring.SuccessorOf({cell, pool})))
        guarded.insert(ideal.name);
    }
  }
  peers_.GuardDispatchers(std::move(guarded));
}

std::optional<Cell> StageDesk::ChooseCell(const CellWish& wish,
                                          base::TimePoint now) const {
  return chooser_.Choose(
      wish,
      [this](const CellPool& at) {
        return peers_.ring().IsSilent(peers_.ring().IdealDispatcherOf(at).name);
      },
      now);
}

AskId StageDesk::Ask(StageJob job, base::TimePoint now) {
  const AskId id{++last_ask_};
  Question question;
  question.target = now + job.until_target;
  question.deadline = now + job.until_deadline;
  if (job.until_inputs_gone)
    question.inputs_gone = now + *job.until_inputs_gone;
  question.job = std::move(job);
  Place(id, questions_.emplace(id, std::move(question)).first->second, now);
  return id;
}

void StageDesk::Place(AskId id, Question& question, base::TimePoint now) {
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
  const PeerHost& host = is_alone ? context_.options().own
                                  : peers_.ring().DispatcherOf(question.at());
  question.host = host.name;
  if (peers_.ring().IsOwn(host)) {
    PlaceHere(id, question, std::move(job), now);
    return;
  }
  peers_.NoteUse(host.name, now);
  context_.Emit(AskPeer{id, host.address, std::move(job)});
}

void StageDesk::PlaceHere(AskId id,
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
std::optional<JobId> StageDesk::Submit(const CellPool& at,
                                       StageJob job,
                                       JobOrigin origin,
                                       base::TimePoint now) {
  const HostRing& ring = peers_.ring();
  dispatch_.SetLimitShare(
      at, ring.IsOwn(ring.DispatcherOf(at))
              ? 1
              : kShareOfOthers / static_cast<double>(ring.host_count()));
  return dispatch_.Submit(at, std::move(job), origin, now);
}

void StageDesk::Fail(AskId id, const JobFailure& failure) {
  outcomes_.emplace_back(id, failure);
  questions_.erase(id);
}

void StageDesk::Withdraw(AskId id) {
  const auto node = questions_.extract(id);
  if (node.empty())
    return;
  const Question& question = node.mapped();
  if (question.local)
    dispatch_.Withdraw(question.at(), *question.local);
  else
    context_.Emit(CancelAsk{id});
}

std::vector<std::pair<AskId, AskOutcome>> StageDesk::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

void StageDesk::Release(const AskedResults& results, base::TimePoint now) {
  const PeerHost* host = peers_.ring().Find(results.host);
  // In place of a host that is gone, the next dispatcher frees them.
  if (host == nullptr || peers_.ring().IsSilent(host->name))
    host = &peers_.ring().DispatcherOf(results.at);
  if (peers_.ring().IsOwn(*host)) {
    dispatch_.Free(results.at, results.results, now);
    return;
  }
  context_.Emit(TellPeerRead{host->address, results.at, results.results});
}

// A dispatcher calls its endpoints as if they were its own: two at a time find
// them full. So a host takes jobs only if it is the dispatcher as far as it
// knows itself, whoever asks.
bool StageDesk::IsDispatcherOf(const CellPool& at, base::TimePoint now) {
  if (peers_.ring().IsOwn(peers_.ring().DispatcherOf(at))) {
    last_dispatched_[at] = now;
    return true;
  }
  const auto it = last_dispatched_.find(at);
  return it != last_dispatched_.end() && now <= it->second + kHandover;
}

void StageDesk::Handle(const PeerJobAsked& event, base::TimePoint now) {
  const CellPool at{event.job.cell, event.job.pool};
  // In a fleet of one cell nobody else could do it.
  const bool is_welcome = at.cell.HasAllZones() || IsDispatcherOf(at, now);
  const auto job =
      is_welcome ? Submit(at, event.job, event.exchange, now) : std::nullopt;
  if (job) {
    peer_jobs_.emplace(event.exchange, std::pair(at, *job));
    return;
  }
  context_.Log(base::LogEventId::kJobRefused, event.job.request_id,
               {{"pool", at.pool.value},
                {"cell", at.cell.zone.value},
                {"reason", "not_dispatcher"},
                {"dispatcher", peers_.ring().DispatcherOf(at).name.value}});
  context_.Emit(AnswerPeer{
      event.exchange, JobFailure{JobFailureKind::kHostLost, kRetryAfterLoss},
      base::Duration(0)});
}

void StageDesk::Handle(const PeerJobLeft& event) {
  const auto node = peer_jobs_.extract(event.exchange);
  if (!node.empty())
    dispatch_.Withdraw(node.mapped().first, node.mapped().second);
}

void StageDesk::Handle(const PeerResultsRead& event, base::TimePoint now) {
  dispatch_.Free(event.at, event.results, now);
}

void StageDesk::Handle(const PeerJobEnded& event, base::TimePoint now) {
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

void StageDesk::Finish(AskId id,
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
                         AskedResults{question.host, question.at(),
                                      std::get<JobResults>(outcome).results});
  questions_.erase(id);
}

void StageDesk::Handle(const PeerJobLost& event, base::TimePoint now) {
  const auto it = questions_.find(event.ask);
  if (it == questions_.end())
    return;
  Question& question = it->second;
  // It was waited for until nobody needs it any more; that says nothing of the
  // host, which PeerWatch looks after.
  if (now >= question.deadline) {
    Fail(event.ask, {JobFailureKind::kTooLate, kRetryAfterLoss});
    return;
  }
  peers_.NoteSilent(question.host, event.detail, now);
  Move(event.ask, question, now);
}

void StageDesk::Move(AskId id, Question& question, base::TimePoint now) {
  ++question.hosts_lost;
  Place(id, question, now);
}

void StageDesk::Handle(const PeerSilent& event, base::TimePoint now) {
  if (peers_.Handle(event, now) == SilenceVerdict::kLost)
    MoveQuestionsFrom(event.host, now);
}

void StageDesk::MoveQuestionsFrom(const base::HostName& host,
                                  base::TimePoint now) {
  std::vector<AskId> waiting;
  for (const auto& [id, question] : questions_) {
    if (!question.local && question.host == host)
      waiting.push_back(id);
  }
  for (const AskId id : waiting) {
    context_.Emit(CancelAsk{id});
    Move(id, questions_.at(id), now);
  }
}

void StageDesk::Dispatch(base::TimePoint now) {
  dispatch_.Dispatch(now);
  for (DispatchedJob& it : dispatch_.TakeOutcomes())
    GiveOutcome(std::move(it), now);
}

void StageDesk::GiveOutcome(DispatchedJob job, base::TimePoint now) {
  std::visit(base::Overloaded{
                 [&](PeerExchangeId exchange) {
                   peer_jobs_.erase(exchange);
                   context_.Emit(AnswerPeer{exchange, std::move(job.outcome),
                                            job.backlog});
                 },
                 [&](AskId ask) {
                   if (questions_.contains(ask))
                     Finish(ask, job.outcome, job.backlog, now);
                 },
             },
             job.origin);
}

std::optional<base::TimePoint> StageDesk::NextWakeup() const {
  return dispatch_.NextWakeup();
}

}  // namespace bilberry::forward
