#include "LibNode/run_coordinator.h"

#include <utility>
#include <vector>

#include "LibBase/overloaded.h"
#include "LibNode/request_checker.h"

namespace bilberry::node {

namespace {

using base::Step;
using pipeline::AttemptEffect;
using pipeline::Executed;
using policy::AttemptVerdict;

constexpr std::chrono::milliseconds kRetryAfterNotReady{1000};
constexpr std::chrono::milliseconds kRetryAfterFull{1000};
constexpr std::chrono::milliseconds kRetryAfterFailure{1000};

constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

constexpr const char* kCallerLeftCode = "caller_left";

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

policy::EndpointTarget TargetOf(const base::HostEntry& entry) {
  return {{entry.name}, entry.zone, entry.address, entry.incarnation};
}

report::RunOutcome RunOutcomeOf(const CallerAnswer& answer,
                                base::TimePoint deadline,
                                base::TimePoint now) {
  using report::RunOutcome;
  if (!answer.error)
    return now <= deadline ? RunOutcome::kMet : RunOutcome::kLate;
  if (answer.error->code == kCallerLeftCode)
    return RunOutcome::kAbandoned;
  if (answer.status == kGatewayTimeout)
    return RunOutcome::kLapsed;
  if (answer.status == kServiceUnavailable)
    return RunOutcome::kRefused;
  if (answer.status >= kFirstServerErrorStatus)
    return RunOutcome::kFailed;
  // What may be asked again as it is wasn't the caller's fault.
  return answer.error->retry_after ? RunOutcome::kRefused
                                   : RunOutcome::kCallerFault;
}

}  // namespace

std::string RunCoordinator::RequestIdOf(base::RunId run) const {
  return base::ToRequestId(context_.incarnation(), run);
}

policy::PoolScheduler& RunCoordinator::PoolOf(const pipeline::Run& run) {
  return pools_.at(run.stage().pool);
}

void RunCoordinator::Refuse(base::CallerId caller,
                            int status,
                            CallerError error) {
  CallerAnswer answer;
  answer.status = status;
  answer.request_id = RequestIdOf(base::RunId{++last_run_});
  answer.error = std::move(error);
  context_.Emit(AnswerCaller{caller, std::move(answer)});
}

void RunCoordinator::RecordRefused(const pipeline::RunRequest& request,
                                   base::TimePoint now) {
  recorder_.Record({request.pipeline,
                    request.team,
                    request.rank,
                    report::RunOutcome::kRefused,
                    base::Duration(0),
                    {}},
                   now);
}

void RunCoordinator::HandleRequest(const CallerRequest& request,
                                   base::TimePoint now) {
  const auto configuration = membership_.configuration();
  if (!configuration) {
    recorder_.NoteRefusedUnready();
    Refuse(request.caller, kServiceUnavailable,
           {"not_ready", Step::kAdmission, "",
            "this entry host has no configuration yet", kRetryAfterNotReady});
    return;
  }
  auto checked = CheckRequest(request, *configuration);
  const auto* sound = std::get_if<pipeline::RunRequest>(&checked);
  if (!is_accepting_) {
    if (sound != nullptr)
      RecordRefused(*sound, now);
    Refuse(request.caller, kServiceUnavailable,
           {"stopping", Step::kAdmission, "", "this entry host is stopping",
            kRetryAfterNotReady});
    return;
  }
  if (auto* bad = std::get_if<BadRequest>(&checked)) {
    Refuse(request.caller, bad->status, std::move(bad->error));
    return;
  }
  if (runs_.size() >= context_.settings().max_runs) {
    RecordRefused(*sound, now);
    Refuse(request.caller, kServiceUnavailable,
           {"too_many_runs", Step::kAdmission, "",
            "this entry host is at its limit of runs", kRetryAfterFull});
    return;
  }
  Admit(request, std::get<pipeline::RunRequest>(std::move(checked)),
        configuration, now);
}

void RunCoordinator::Admit(
    const CallerRequest& request,
    pipeline::RunRequest checked,
    const std::shared_ptr<const declare::Configuration>& configuration,
    base::TimePoint now) {
  const auto* pipeline = configuration->FindPipeline(checked.pipeline);
  const base::RunId id{++last_run_};
  const auto [it, is_new] = runs_.try_emplace(
      id, ActiveRun{pipeline::Run(id, configuration, *pipeline,
                                  std::move(checked), now),
                    request.caller});
  ActiveRun& active = it->second;
  callers_.emplace(request.caller, id);
  deadlines_.emplace(active.run.deadline(), id);
  if (!pipeline->IsAtMostOnce()) {
    OfferStage(active, now);
    return;
  }
  active.phase = Phase::kClaiming;
  const pipeline::RunRequest& asked = active.run.request();
  bookings_.Begin(id, {asked.team, *asked.idempotency_key},
                  pipeline::DigestOf(asked), now);
}

void RunCoordinator::OfferStage(ActiveRun& active, base::TimePoint now) {
  const pipeline::Run& run = active.run;
  policy::Work work;
  work.run = run.id();
  work.rank = run.request().rank;
  work.team = run.request().team;
  work.estimate = run.stage().expected;
  work.offered = now;
  work.deadline = run.deadline();
  work.progress = run.stage_index() == 0 ? policy::Progress::kNew
                                         : policy::Progress::kUnderWay;
  active.phase = Phase::kQueued;
  active.stage_offered = now;
  PoolOf(run).Offer(std::move(work), now);
}

void RunCoordinator::DispatchAll(base::TimePoint now) {
  for (auto& [name, pool] : pools_) {
    while (const auto dispatch = pool.NextDispatch(now))
      StartAttempt(*dispatch, pool, now);
  }
}

void RunCoordinator::StartAttempt(const policy::Dispatch& dispatch,
                                  policy::PoolScheduler& pool,
                                  base::TimePoint now) {
  ActiveRun& active = runs_.at(dispatch.run);
  const policy::EndpointTarget* target = pool.FindEndpoint(dispatch.endpoint);
  const base::AttemptId attempt{context_.incarnation(), ++last_attempt_};
  active.run.BeginAttempt(attempt, dispatch.endpoint, now);
  active.phase = Phase::kSent;
  attempts_.emplace(attempt.number, dispatch.run);
  const declare::Stage& stage = active.run.stage();
  const bool is_repeatable =
      stage.repeatability == declare::Repeatability::kRepeatable;
  context_.Emit(SendToEndpoint{
      attempt, target->address, stage.path, active.run.input(), stage.delivery,
      is_repeatable ? ConnectionUse::kPooled : ConnectionUse::kFresh,
      is_repeatable ? std::nullopt : active.run.request().idempotency_key});
}

RunCoordinator::ActiveRun* RunCoordinator::FindByAttempt(
    const base::AttemptId& attempt) {
  const auto found = attempts_.find(attempt.number);
  if (attempt.incarnation != context_.incarnation() || found == attempts_.end())
    return nullptr;
  const auto it = runs_.find(found->second);
  return it == runs_.end() ? nullptr : &it->second;
}

void RunCoordinator::HandleChunk(const EndpointChunk& chunk) {
  ActiveRun* active = FindByAttempt(chunk.attempt);
  // A mismatched stream is ended by its EndpointAnswer.
  if (active == nullptr || chunk.echoed_attempt != base::ToText(chunk.attempt))
    return;
  active->has_stream_begun = true;
  context_.Emit(StreamToCaller{active->caller, RequestIdOf(active->run.id()),
                               chunk.bytes});
}

void RunCoordinator::HandleAnswer(const EndpointAnswer& answer,
                                  base::TimePoint now) {
  ActiveRun* active = FindByAttempt(answer.attempt);
  if (active == nullptr)
    return;
  const base::EndpointName endpoint = active->run.attempt_endpoint();
  if (answer.said_leaving) {
    const auto* target = PoolOf(active->run).FindEndpoint(endpoint);
    if (target != nullptr)
      membership_.NoteLeaving(endpoint, target->incarnation);
  }
  if (answer.echoed_attempt != base::ToText(answer.attempt)) {
    context_.Log(base::LogEventId::kAnswerMismatched, endpoint.value);
    FailAttempt(*active, AttemptEffect::kUnknown, AttemptVerdict::kFailed,
                {"answer_mismatched", Step::kEndpointCall, endpoint.value,
                 "the endpoint answered another attempt", std::nullopt},
                now);
    return;
  }
  if (!IsSuccess(answer.status)) {
    const bool did_not_run = answer.said_not_run;
    FailAttempt(
        *active, did_not_run ? AttemptEffect::kNotRun : AttemptEffect::kUnknown,
        did_not_run ? AttemptVerdict::kRefusedNotRun : AttemptVerdict::kFailed,
        {"endpoint_failed", Step::kEndpointCall, endpoint.value,
         "the endpoint answered with status " + std::to_string(answer.status),
         kRetryAfterFailure},
        now);
    return;
  }
  ReportAttempt(*active, AttemptVerdict::kSucceeded, answer.reported_load, now);
  attempts_.erase(answer.attempt.number);
  const auto acceptance = active->run.AcceptAnswer(answer.attempt, answer.body);
  if (acceptance == pipeline::Acceptance::kNextStage)
    OfferStage(*active, now);
  else if (acceptance == pipeline::Acceptance::kFinished)
    Succeed(*active, now);
}

void RunCoordinator::HandleFailure(const EndpointFailure& failure,
                                   base::TimePoint now) {
  ActiveRun* active = FindByAttempt(failure.attempt);
  if (active == nullptr)
    return;
  const bool was_unreachable =
      failure.kind == EndpointFailureKind::kUnreachable;
  const std::string endpoint = active->run.attempt_endpoint().value;
  FailAttempt(
      *active,
      was_unreachable ? AttemptEffect::kNotRun : AttemptEffect::kUnknown,
      was_unreachable ? AttemptVerdict::kUnreachable : AttemptVerdict::kFailed,
      {was_unreachable ? "endpoint_unreachable" : "endpoint_broke_off",
       Step::kEndpointCall, endpoint, failure.detail, kRetryAfterFailure},
      now);
}

void RunCoordinator::ReportAttempt(ActiveRun& active,
                                   AttemptVerdict verdict,
                                   std::optional<uint32_t> load,
                                   base::TimePoint now) {
  const pipeline::Run& run = active.run;
  active.attempts.push_back({run.stage().name, run.stage_index(),
                             run.attempt_began() - active.stage_offered,
                             now - run.attempt_began()});
  const auto it = pools_.find(run.stage().pool);
  if (it == pools_.end())
    return;
  it->second.Finish({active.run.attempt_endpoint(), verdict,
                     now - active.run.attempt_began(), load},
                    now);
}

void RunCoordinator::FailAttempt(ActiveRun& active,
                                 AttemptEffect effect,
                                 AttemptVerdict verdict,
                                 CallerError error,
                                 base::TimePoint now) {
  const base::AttemptId attempt = *active.run.attempt();
  ReportAttempt(active, verdict, std::nullopt, now);
  attempts_.erase(attempt.number);
  active.run.FailAttempt(attempt, effect);
  context_.Log(base::LogEventId::kAttemptFailed,
               error.peer + ": " + error.code + ": " + error.message);
  Fail(active, kBadGateway, std::move(error), now);
}

void RunCoordinator::CancelAttempt(ActiveRun& active,
                                   AttemptVerdict verdict,
                                   base::TimePoint now) {
  const base::AttemptId attempt = *active.run.attempt();
  ReportAttempt(active, verdict, std::nullopt, now);
  attempts_.erase(attempt.number);
  active.run.FailAttempt(attempt, AttemptEffect::kUnknown);
  context_.Emit(node::CancelAttempt{attempt});
}

void RunCoordinator::HandleCallerLeft(base::CallerId caller,
                                      base::TimePoint now) {
  const auto found = callers_.find(caller);
  if (found == callers_.end())
    return;
  ActiveRun& active = runs_.at(found->second);
  // A booking that has been sent is seen through, so that its outcome is
  // recorded for the caller who asks again.
  if (active.run.pipeline().IsAtMostOnce() && active.phase == Phase::kSent)
    return;
  if (active.phase == Phase::kSent)
    CancelAttempt(active, AttemptVerdict::kCancelled, now);
  Fail(active, kServiceUnavailable,
       {kCallerLeftCode, Step::kQueue, "", "the caller has left", std::nullopt},
       now);
}

void RunCoordinator::HandleDecision(const BookingDecision& decision,
                                    base::TimePoint now) {
  const base::RunId id =
      std::visit([](const auto& it) { return it.run; }, decision);
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    // The caller has been answered meanwhile; nothing will be sent.
    bookings_.Conclude(id, BookingDidNotRun{}, now);
    return;
  }
  ActiveRun& active = found->second;
  std::visit(base::Overloaded{
                 [&](const BookingGranted&) { OfferStage(active, now); },
                 [&](const BookingAnswered& it) {
                   CallerAnswer answer;
                   answer.status = it.status;
                   answer.executed = Executed::kYes;
                   answer.body = it.body;
                   End(active, std::move(answer), now);
                 },
                 [&](const BookingRejected& it) {
                   CallerAnswer answer;
                   answer.status = it.status;
                   answer.executed = it.executed;
                   answer.error = it.error;
                   End(active, std::move(answer), now);
                 },
             },
             decision);
}

void RunCoordinator::HandleTimer(base::TimePoint now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    Lapse(runs_.at(deadlines_.begin()->second), now);
}

void RunCoordinator::Lapse(ActiveRun& active, base::TimePoint now) {
  const bool was_sent = active.phase == Phase::kSent;
  const std::string endpoint =
      was_sent ? active.run.attempt_endpoint().value : "";
  if (was_sent)
    CancelAttempt(active, AttemptVerdict::kTimedOut, now);
  const Step step = active.phase == Phase::kClaiming ? Step::kClaim
                    : was_sent                       ? Step::kEndpointCall
                                                     : Step::kQueue;
  Fail(active, kGatewayTimeout,
       {"deadline_exceeded", step, endpoint, "the deadline has passed",
        kRetryAfterFailure},
       now);
}

void RunCoordinator::Succeed(ActiveRun& active, base::TimePoint now) {
  CallerAnswer answer;
  answer.executed = Executed::kYes;
  answer.body = active.run.input();
  End(active, std::move(answer), now);
}

void RunCoordinator::Fail(ActiveRun& active,
                          int status,
                          CallerError error,
                          base::TimePoint now) {
  if (active.phase == Phase::kQueued) {
    const auto it = pools_.find(active.run.stage().pool);
    if (it != pools_.end())
      it->second.Withdraw(active.run.id());
  }
  CallerAnswer answer;
  answer.status = status;
  answer.executed = active.run.executed();
  answer.error = std::move(error);
  End(active, std::move(answer), now);
}

BookingOutcome RunCoordinator::OutcomeOf(const ActiveRun& active,
                                         const CallerAnswer& answer) const {
  if (answer.status < kFirstErrorStatus)
    return BookingRan{answer.status, answer.body};
  if (active.run.executed() == Executed::kNo)
    return BookingDidNotRun{};
  return BookingLeftUnresolved{};
}

void RunCoordinator::End(ActiveRun& active,
                         CallerAnswer answer,
                         base::TimePoint now) {
  const base::RunId id = active.run.id();
  answer.request_id = RequestIdOf(id);
  const pipeline::RunRequest& asked = active.run.request();
  recorder_.Record({asked.pipeline, asked.team, asked.rank,
                    RunOutcomeOf(answer, active.run.deadline(), now),
                    now - active.run.arrived(), std::move(active.attempts)},
                   now);
  if (active.run.pipeline().IsAtMostOnce())
    bookings_.Conclude(id, OutcomeOf(active, answer), now);
  if (active.has_stream_begun)
    context_.Emit(EndStream{active.caller, std::move(answer)});
  else
    context_.Emit(AnswerCaller{active.caller, std::move(answer)});
  deadlines_.erase({active.run.deadline(), id});
  callers_.erase(active.caller);
  runs_.erase(id);
}

void RunCoordinator::HandleDigest(const Digest& digest, base::TimePoint now) {
  for (const PoolShare& share : digest.shares) {
    const auto it = pools_.find(share.pool);
    if (it != pools_.end())
      it->second.NotePeerShare(digest.host, share.in_flight, now);
  }
}

void RunCoordinator::FillDigest(Digest& digest) const {
  for (const policy::PoolLoad& load : Loads())
    digest.shares.push_back({load.pool, load.in_flight, load.queued});
}

void RunCoordinator::Refresh(base::TimePoint now) {
  const auto configuration = membership_.configuration();
  if (!configuration)
    return;
  for (const declare::Pool& pool : configuration->pools) {
    const auto [it, is_new] =
        pools_.try_emplace(pool.name, pool, context_.settings().zone,
                           context_.policy(), context_.random().Next());
    it->second.Reconfigure(pool);
  }
  // A pool that is no longer declared stays for the runs that began with it.
  for (auto& [name, pool] : pools_) {
    std::vector<policy::EndpointTarget> targets;
    for (const base::HostEntry& entry : membership_.hosts().LiveEndpoints(name))
      targets.push_back(TargetOf(entry));
    pool.SetEndpoints(targets, now);
  }
}

std::vector<policy::PoolLoad> RunCoordinator::Loads() const {
  std::vector<policy::PoolLoad> loads;
  loads.reserve(pools_.size());
  for (const auto& [name, pool] : pools_)
    loads.push_back(pool.Load());
  return loads;
}

std::optional<base::TimePoint> RunCoordinator::NextWakeup() const {
  std::optional<base::TimePoint> next;
  if (!deadlines_.empty())
    next = deadlines_.begin()->first;
  for (const auto& [name, pool] : pools_) {
    const auto wakeup = pool.NextWakeup();
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

}  // namespace bilberry::node
