#include "LibNode/run_coordinator.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include "LibBase/overloaded.h"
#include "LibNode/request_checker.h"
#include "LibPolicy/retry_jitter.h"

namespace bilberry::node {

namespace {

using base::Step;
using pipeline::AttemptEffect;
using pipeline::Executed;
using policy::AttemptVerdict;

constexpr std::chrono::milliseconds kRetryAfterNotReady{1000};
constexpr std::chrono::milliseconds kRetryAfterFull{1000};
constexpr std::chrono::milliseconds kRetryAfterFailure{1000};
// A request is accepted although all endpoints are in a Retry-After time if the
// first of these ends within this time.
constexpr std::chrono::milliseconds kMaxBackoffWait{50};

constexpr size_t kAffinityPrefixBytes = 256;

constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kUnprocessable = 422;
constexpr int kFirstServerErrorStatus = 500;

constexpr const char* kCallerLeftCode = "caller_left";
// How long the attempt of a booking stays open after the deadline.
constexpr std::chrono::seconds kBookingLinger{30};
constexpr size_t kMaxLingering = 1024;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// A stream that restarts from the beginning may differ from the part that the
// caller already has.
bool IsUnresumed(uint64_t wanted, std::optional<uint64_t> resumed_from) {
  return wanted > 0 && resumed_from != wanted;
}

CallerError QuarantinedError() {
  return {"quarantined", Step::kAdmission, "",
          "endpoints died while they ran this request", std::nullopt};
}

policy::StageKey KeyOf(const declare::Stage& stage) {
  return {stage.pool, stage.path};
}

// A 4xx concerns the caller's request, except for those that concern the moment
// (RFC 9110 section 15.5.9, RFC 8470 section 5.2, RFC 6585 section 4).
bool IsDefiniteRefusal(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 425 &&
         status != 429;
}

// Requests of the same team and pipeline whose bodies begin alike share a
// prompt prefix.
uint64_t AffinityOf(const pipeline::RunRequest& request) {
  const std::string_view body = request.body;
  const std::string_view prefix = body.substr(0, kAffinityPrefixBytes);
  std::string key = request.team.value;
  key.append("/").append(request.pipeline.value).append("/").append(prefix);
  return std::hash<std::string>()(key);
}

std::chrono::milliseconds ToMilliseconds(base::Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
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
    return RunOutcome::kDeadlineExpired;
  if (answer.status == kServiceUnavailable)
    return RunOutcome::kRefused;
  if (answer.status >= kFirstServerErrorStatus)
    return RunOutcome::kFailed;
  // An error that permits an unchanged retry is not the caller's fault.
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
  const auto* valid = std::get_if<pipeline::RunRequest>(&checked);
  if (!is_accepting_) {
    if (valid != nullptr)
      RecordRefused(*valid, now);
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
    RecordRefused(*valid, now);
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
  std::string digest = pipeline::DigestOf(checked);
  const auto* pipeline = configuration->FindPipeline(checked.pipeline);
  if (IsQuarantined(*pipeline, digest, now)) {
    Refuse(request.caller, kUnprocessable, QuarantinedError());
    return;
  }
  const base::RunId id{++last_run_};
  const auto [it, is_new] = runs_.try_emplace(
      id, ActiveRun{pipeline::Run(id, configuration, *pipeline,
                                  std::move(checked), now),
                    request.caller, std::move(digest)});
  ActiveRun& active = it->second;
  callers_.emplace(request.caller, id);
  active.expires_at = active.run.deadline();
  deadlines_.emplace(active.expires_at, id);
  if (!pipeline->IsAtMostOnce()) {
    OfferStage(active, now);
    return;
  }
  active.phase = Phase::kClaiming;
  const pipeline::RunRequest& run_request = active.run.request();
  bookings_.Begin(id, {run_request.team, *run_request.idempotency_key},
                  active.digest, now);
}

policy::AdmissionDecision RunCoordinator::DecideAdmission(
    const pipeline::Run& run,
    base::TimePoint now) const {
  // The baseline policy admits everything, and a run that has begun is not
  // refused.
  if (context_.policy() == policy::PolicyKind::kBaseline ||
      run.stage_index() > 0)
    return policy::Admitted{};
  policy::WorkClass work_class{run.request().rank, run.request().team,
                               run.request().team_weight};
  std::vector<policy::StageForecast> forecasts;
  for (const declare::Stage& stage : run.pipeline().stages) {
    const policy::PoolScheduler& pool = pools_.at(stage.pool);
    forecasts.push_back({pool.EstimatedWait(work_class),
                         pool.EstimateOf({run.pipeline().name, stage.name},
                                         stage.expected, now)});
    work_class.progress = policy::Progress::kUnderWay;
  }
  return policy::DecideAdmission(forecasts, run.deadline() - now);
}

base::Duration RunCoordinator::ServiceAfter(const pipeline::Run& run,
                                            base::TimePoint now) const {
  const auto& stages = run.pipeline().stages;
  base::Duration sum{};
  for (size_t i = run.stage_index() + 1; i < stages.size(); ++i) {
    sum += pools_.at(stages[i].pool)
               .EstimateOf({run.pipeline().name, stages[i].name},
                           stages[i].expected, now)
               .typical;
  }
  return sum;
}

// A run that has not executed anything is refused instead of waiting while all
// endpoints are in a Retry-After time. The baseline policy admits everything.
bool RunCoordinator::RefuseDuringBackoff(ActiveRun& active,
                                         base::TimePoint now) {
  const pipeline::Run& run = active.run;
  if (context_.policy() == policy::PolicyKind::kBaseline ||
      run.executed() != Executed::kNo || run.stage_index() > 0)
    return false;
  const base::TimePoint backoff_end = PoolOf(run).EarliestBackoffEnd(now);
  if (backoff_end <= now + kMaxBackoffWait)
    return false;
  FailUnsent(
      active,
      {"endpoints_quiet", Step::kAdmission, "",
       "all endpoints of the pool " + run.stage().pool.value +
           " want to be left alone",
       ToMilliseconds(policy::AddJitter(backoff_end - now, context_.random()))},
      now);
  return true;
}

void RunCoordinator::OfferStage(ActiveRun& active, base::TimePoint now) {
  const pipeline::Run& run = active.run;
  // A booking reaches this point only after its claim is granted: before that,
  // it is not known whether it has executed under an earlier request.
  if (context_.policy() == policy::PolicyKind::kAdaptive &&
      !membership_.hosts().HasLiveEndpoint(run.stage().pool)) {
    FailUnsent(
        active,
        {"no_endpoint", Step::kAdmission, "",
         "no endpoint of the pool " + run.stage().pool.value + " is known",
         kRetryAfterNotReady},
        now);
    return;
  }
  if (RefuseDuringBackoff(active, now))
    return;
  const auto decision = DecideAdmission(run, now);
  if (const auto* unreachable =
          std::get_if<policy::DeadlineUnreachable>(&decision)) {
    FailUnsent(
        active,
        {"deadline_unreachable", Step::kAdmission, "",
         "the deadline can't be met", ToMilliseconds(unreachable->retry_after)},
        now);
    return;
  }
  policy::Work work;
  work.run = run.id();
  work.rank = run.request().rank;
  work.team = run.request().team;
  work.weight = run.request().team_weight;
  work.stage = {run.pipeline().name, run.stage().name};
  work.service = PoolOf(run).EstimateOf(work.stage, run.stage().expected, now);
  work.service_after = ServiceAfter(run, now);
  work.offered = now;
  work.deadline = run.deadline();
  work.progress = run.stage_index() == 0 ? policy::Progress::kNew
                                         : policy::Progress::kUnderWay;
  work.avoided = active.avoided;
  work.affinity = AffinityOf(run.request());
  active.phase = Phase::kQueued;
  active.stage_offered = now;
  const auto outcome = PoolOf(run).Offer(std::move(work), now);
  if (outcome == policy::OfferOutcome::kQueueFull)
    FailUnsent(active,
               {"too_many_runs", Step::kQueue, "",
                "too much waits for the pool " + run.stage().pool.value,
                kRetryAfterFull},
               now);
}

void RunCoordinator::DispatchAll(base::TimePoint now) {
  for (auto& [name, pool] : pools_) {
    while (const auto dispatch = pool.NextDispatch(now))
      StartAttempt(*dispatch, pool, now);
    for (const policy::HealthChange& change : pool.TakeHealthChanges())
      context_.Log(change.state == policy::HealthState::kHealthy
                       ? base::LogEventId::kEndpointRestored
                       : base::LogEventId::kEndpointEjected,
                   change.endpoint.value);
    for (const base::RunId run : pool.TakeExpired())
      FailUnsent(runs_.at(run),
                 {"deadline_unreachable", Step::kQueue, "",
                  "the deadline can no longer be met", kRetryAfterFailure},
                 now);
  }
}

// A run that may have executed a stage must not be reported as refused.
void RunCoordinator::FailUnsent(ActiveRun& active,
                                CallerError error,
                                base::TimePoint now) {
  if (active.run.executed() == Executed::kNo) {
    Fail(active, kServiceUnavailable, std::move(error), now);
    return;
  }
  error.code = "deadline_exceeded";
  Fail(active, kGatewayTimeout, std::move(error), now);
}

void RunCoordinator::StartAttempt(const policy::Dispatch& dispatch,
                                  policy::PoolScheduler& pool,
                                  base::TimePoint now) {
  ActiveRun& active = runs_.at(dispatch.run);
  const policy::EndpointTarget* target = pool.FindEndpoint(dispatch.endpoint);
  const base::AttemptId attempt{context_.incarnation(), ++last_attempt_};
  active.run.BeginAttempt(attempt, dispatch.endpoint, now);
  active.phase = Phase::kSent;
  if (active.attempt_count == 0)
    retry_budgets_[active.run.stage().pool].NoteFirstAttempt();
  ++active.attempt_count;
  attempts_.emplace(attempt.number, dispatch.run);
  const declare::Stage& stage = active.run.stage();
  active.connection = ConnectionAge::kFresh;
  active.has_answer_begun = false;
  active.resume_offset = active.streamed_bytes;
  if (MayTimeOut(active))
    attempt_timeouts_.emplace(AttemptTimeoutAt(active), attempt.number);
  const bool is_repeatable =
      stage.repeatability == declare::Repeatability::kRepeatable;
  context_.Emit(SendToEndpoint{
      attempt, target->address, stage.path, active.run.input(), stage.delivery,
      is_repeatable ? ConnectionUse::kPooled : ConnectionUse::kFresh,
      is_repeatable ? std::nullopt : active.run.request().idempotency_key,
      active.resume_offset});
}

RunCoordinator::ActiveRun* RunCoordinator::FindByAttempt(
    const base::AttemptId& attempt) {
  const auto found = attempts_.find(attempt.number);
  if (attempt.incarnation != context_.incarnation() || found == attempts_.end())
    return nullptr;
  const auto it = runs_.find(found->second);
  return it == runs_.end() ? nullptr : &it->second;
}

void RunCoordinator::HandleSending(const EndpointSending& sending) {
  ActiveRun* active = FindByAttempt(sending.attempt);
  if (active != nullptr)
    active->connection = sending.connection;
}

void RunCoordinator::HandleChunk(const EndpointChunk& chunk,
                                 base::TimePoint now) {
  ActiveRun* active = FindByAttempt(chunk.attempt);
  // The EndpointAnswer ends a stream of a mismatched attempt.
  if (active == nullptr || active->is_lingering ||
      chunk.echoed_attempt != base::ToText(chunk.attempt))
    return;
  if (IsUnresumed(active->resume_offset, chunk.resumed_from)) {
    EndUnresumed(*active, now);
    return;
  }
  if (!active->has_answer_begun)
    timeout_estimator_.Record(KeyOf(active->run.stage()),
                              now - active->run.attempt_began());
  active->has_answer_begun = true;
  active->has_stream_begun = true;
  active->streamed_bytes += chunk.bytes.size();
  context_.Emit(StreamToCaller{active->caller, RequestIdOf(active->run.id()),
                               chunk.bytes});
}

void RunCoordinator::HandleAnswer(const EndpointAnswer& answer,
                                  base::TimePoint now) {
  ActiveRun* active = FindByAttempt(answer.attempt);
  if (active == nullptr)
    return;
  const base::EndpointName endpoint = active->run.attempt_endpoint();
  if (answer.reported_leaving) {
    const auto* target = PoolOf(active->run).FindEndpoint(endpoint);
    if (target != nullptr)
      membership_.NoteLeaving(endpoint, target->incarnation);
  }
  if (answer.retry_after)
    PoolOf(active->run).NoteBackoff(endpoint, now + *answer.retry_after, now);
  if (active->is_lingering) {
    EndLinger(*active, LateOutcomeOf(*active, answer), now);
    return;
  }
  if (answer.echoed_attempt != base::ToText(answer.attempt)) {
    context_.Log(base::LogEventId::kAnswerMismatched, endpoint.value);
    FailAttempt(
        *active,
        {.error = {"answer_mismatched", Step::kEndpointCall, endpoint.value,
                   "the endpoint answered another attempt", std::nullopt}},
        now);
    return;
  }
  quarantine_.NoteAnswer(endpoint, active->run.attempt_began(), now);
  // A 4xx to the request for the rest of a stream is a failure to resume, not a
  // refusal of the caller's request.
  if (IsDefiniteRefusal(answer.status) && !active->has_stream_begun) {
    PassOnRefusal(*active, answer, now);
    return;
  }
  if (!IsSuccess(answer.status)) {
    FailAttempt(*active, FailureOf(answer, endpoint), now);
    return;
  }
  if (IsUnresumed(active->resume_offset, answer.resumed_from)) {
    EndUnresumed(*active, now);
    return;
  }
  if (!active->has_answer_begun)
    timeout_estimator_.Record(KeyOf(active->run.stage()),
                              now - active->run.attempt_began());
  ReportAttempt(*active, AttemptVerdict::kSucceeded, answer.reported_load, now);
  attempts_.erase(answer.attempt.number);
  const auto acceptance = active->run.AcceptAnswer(answer.attempt, answer.body);
  active->attempt_count = 0;
  active->avoided.clear();
  if (acceptance == pipeline::Acceptance::kNextStage)
    OfferStage(*active, now);
  else if (acceptance == pipeline::Acceptance::kFinished)
    Succeed(*active, now);
}

RunCoordinator::AttemptFailure RunCoordinator::FailureOf(
    const EndpointAnswer& answer,
    const base::EndpointName& endpoint) {
  AttemptFailure failure;
  if (answer.reported_not_run) {
    failure.effect = AttemptEffect::kNotRun;
    failure.verdict = AttemptVerdict::kRefusedNotRun;
  }
  if (answer.reported_not_run && answer.reported_leaving)
    failure.retry = RetryCost::kFree;
  failure.error = {
      "endpoint_failed", Step::kEndpointCall, endpoint.value,
      "the endpoint answered with status " + std::to_string(answer.status),
      kRetryAfterFailure};
  return failure;
}

void RunCoordinator::HandleFailure(const EndpointFailure& failure,
                                   base::TimePoint now) {
  ActiveRun* active = FindByAttempt(failure.attempt);
  if (active == nullptr)
    return;
  const bool was_unreachable =
      failure.kind == EndpointFailureKind::kUnreachable;
  if (!was_unreachable)
    quarantine_.NoteDisconnect(active->digest, active->run.attempt_endpoint(),
                               now);
  if (active->is_lingering) {
    EndLinger(*active,
              was_unreachable ? BookingOutcome(BookingDidNotRun{})
                              : BookingOutcome(BookingLeftUnresolved{}),
              now);
    return;
  }
  AttemptFailure failed;
  if (was_unreachable) {
    failed.effect = AttemptEffect::kNotRun;
    failed.verdict = AttemptVerdict::kUnreachable;
  }
  failed.error = {
      was_unreachable ? "endpoint_unreachable" : "endpoint_broke_off",
      Step::kEndpointCall, active->run.attempt_endpoint().value, failure.detail,
      kRetryAfterFailure};
  const std::string digest = active->digest;
  FailAttempt(*active, std::move(failed), now);
  EndQuarantined(digest, now);
}

void RunCoordinator::ReportAttempt(ActiveRun& active,
                                   AttemptVerdict verdict,
                                   std::optional<uint32_t> load,
                                   base::TimePoint now) {
  const pipeline::Run& run = active.run;
  active.ended_attempts.push_back({run.stage().name, run.stage_index(),
                                   run.attempt_began() - active.stage_offered,
                                   now - run.attempt_began()});
  const auto it = pools_.find(run.stage().pool);
  if (it == pools_.end())
    return;
  it->second.Finish({active.run.id(), active.run.attempt_endpoint(), verdict,
                     now - active.run.attempt_began(), load},
                    now);
}

void RunCoordinator::FailAttempt(ActiveRun& active,
                                 AttemptFailure failure,
                                 base::TimePoint now) {
  const base::AttemptId attempt = *active.run.attempt();
  ReportAttempt(active, failure.verdict, std::nullopt, now);
  attempts_.erase(attempt.number);
  active.run.FailAttempt(attempt, failure.effect);
  const CallerError& error = failure.error;
  context_.Log(base::LogEventId::kAttemptFailed,
               error.peer + ": " + error.code + ": " + error.message);
  active.avoided.push_back(active.run.attempt_endpoint());
  if (IsQuarantined(active.run.pipeline(), active.digest, now)) {
    context_.Log(base::LogEventId::kRequestQuarantined, active.digest);
    Fail(active, kUnprocessable, QuarantinedError(), now);
    return;
  }
  if (!MayRetry(active, failure, now)) {
    Fail(active, kBadGateway, std::move(failure.error), now);
    return;
  }
  Retry(active, failure, now);
}

void RunCoordinator::Retry(ActiveRun& active,
                           const AttemptFailure& failure,
                           base::TimePoint now) {
  if (failure.retry == RetryCost::kFromBudget)
    retry_budgets_[active.run.stage().pool].TryTake();
  OfferStage(active, now);
}

bool RunCoordinator::MayTimeOut(const ActiveRun& active) const {
  return context_.policy() == policy::PolicyKind::kAdaptive &&
         active.run.stage().repeatability ==
             declare::Repeatability::kRepeatable &&
         AttemptTimeoutAt(active) < active.run.deadline();
}

base::TimePoint RunCoordinator::AttemptTimeoutAt(
    const ActiveRun& active) const {
  const declare::Stage& stage = active.run.stage();
  return active.run.attempt_began() +
         timeout_estimator_.TimeoutOf(KeyOf(stage), stage.expected);
}

void RunCoordinator::TimeOutSlowAttempts(base::TimePoint now) {
  while (!attempt_timeouts_.empty() &&
         attempt_timeouts_.begin()->first <= now) {
    const uint64_t number = attempt_timeouts_.begin()->second;
    attempt_timeouts_.erase(attempt_timeouts_.begin());
    ActiveRun* active =
        FindByAttempt(base::AttemptId{context_.incarnation(), number});
    if (active != nullptr && !active->has_answer_begun && !active->is_lingering)
      TimeOutAttempt(*active, now);
  }
}

void RunCoordinator::TimeOutAttempt(ActiveRun& active, base::TimePoint now) {
  AttemptFailure failure;
  failure.verdict = AttemptVerdict::kTimedOut;
  // A reused connection may be at fault instead of the endpoint. The retry uses
  // a new connection, on which a slow endpoint would show.
  if (active.connection == ConnectionAge::kReused) {
    RetireConnections(active);
    failure.verdict = AttemptVerdict::kCancelled;
    failure.target = RetryTarget::kAnyEndpoint;
  }
  const base::EndpointName endpoint = active.run.attempt_endpoint();
  if (failure.target == RetryTarget::kOtherEndpoint)
    active.avoided.push_back(endpoint);
  // Without a retry the attempt stays open, since its answer may still come by
  // the deadline.
  if (!MayRetry(active, failure, now))
    return;
  context_.Log(base::LogEventId::kAttemptGivenUp, endpoint.value);
  CancelAttempt(active, failure.verdict, now);
  Retry(active, failure, now);
}

void RunCoordinator::EndUnresumed(ActiveRun& active, base::TimePoint now) {
  const std::string endpoint = active.run.attempt_endpoint().value;
  CancelAttempt(active, AttemptVerdict::kCancelled, now);
  Fail(active, kBadGateway,
       {"stream_not_resumed", Step::kEndpointCall, endpoint,
        "the endpoint can't give the rest of a broken stream",
        kRetryAfterFailure},
       now);
}

void RunCoordinator::RetireConnections(const ActiveRun& active) {
  const base::EndpointName& endpoint = active.run.attempt_endpoint();
  const auto* target = PoolOf(active.run).FindEndpoint(endpoint);
  if (target == nullptr)
    return;
  context_.Log(base::LogEventId::kConnectionsCondemned, endpoint.value);
  context_.Emit(node::RetireConnections{target->address});
}

bool RunCoordinator::MayRetry(const ActiveRun& active,
                              const AttemptFailure& failure,
                              base::TimePoint now) const {
  if (context_.policy() == policy::PolicyKind::kBaseline)
    return false;
  const declare::Stage& stage = active.run.stage();
  const bool is_safe =
      failure.effect == AttemptEffect::kNotRun ||
      stage.repeatability == declare::Repeatability::kRepeatable;
  if (!is_safe)
    return false;
  if (now + stage.expected > active.run.deadline())
    return false;
  if (failure.target == RetryTarget::kOtherEndpoint &&
      !HasOtherEndpoint(active))
    return false;
  switch (failure.retry) {
    case RetryCost::kFromBudget: {
      const auto budget = retry_budgets_.find(stage.pool);
      return budget != retry_budgets_.end() && budget->second.CanAfford();
    }
    case RetryCost::kFree:
      return true;
  }
  return false;
}

bool RunCoordinator::HasOtherEndpoint(const ActiveRun& active) const {
  const auto live = membership_.hosts().LiveEndpoints(active.run.stage().pool);
  return std::ranges::any_of(live, [&](const base::HostEntry& entry) {
    const base::EndpointName name{entry.name};
    return std::ranges::find(active.avoided, name) == active.avoided.end();
  });
}

// Bookings are exempt: each key is sent only once anyway, and a repeat must get
// the recorded answer whatever happened to the endpoints.
bool RunCoordinator::IsQuarantined(const declare::Pipeline& pipeline,
                                   const std::string& digest,
                                   base::TimePoint now) {
  return context_.policy() == policy::PolicyKind::kAdaptive &&
         !pipeline.IsAtMostOnce() && quarantine_.IsQuarantined(digest, now);
}

void RunCoordinator::EndQuarantined(const std::string& digest,
                                    base::TimePoint now) {
  if (!quarantine_.IsQuarantined(digest, now))
    return;
  std::vector<base::RunId> waiting;
  for (const auto& [id, active] : runs_) {
    if (active.phase == Phase::kQueued && active.digest == digest &&
        IsQuarantined(active.run.pipeline(), digest, now))
      waiting.push_back(id);
  }
  for (const base::RunId id : waiting)
    Fail(runs_.at(id), kUnprocessable, QuarantinedError(), now);
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

void RunCoordinator::HandleCallerDisconnected(base::CallerId caller,
                                              base::TimePoint now) {
  const auto found = callers_.find(caller);
  if (found == callers_.end())
    return;
  ActiveRun& active = runs_.at(found->second);
  // A booking that has been sent runs to its end, so that its outcome is
  // recorded for a caller that repeats the key.
  if (active.phase == Phase::kRecording ||
      active.run.may_have_run_at_most_once_stage())
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
    // The caller has been answered meanwhile, so nothing will be sent.
    if (std::holds_alternative<BookingGranted>(decision))
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
  quarantine_.Advance(now);
  TimeOutSlowAttempts(now);
  while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    ExpireRun(runs_.at(deadlines_.begin()->second), now);
}

void RunCoordinator::ExpireRun(ActiveRun& active, base::TimePoint now) {
  if (active.is_lingering) {
    context_.Emit(node::CancelAttempt{*active.run.attempt()});
    EndLinger(active, BookingLeftUnresolved{}, now);
    return;
  }
  const bool was_sent = active.phase == Phase::kSent;
  if (was_sent && active.run.is_at_most_once_stage() &&
      lingering_count_ < kMaxLingering) {
    Linger(active, now);
    return;
  }
  const std::string endpoint =
      was_sent ? active.run.attempt_endpoint().value : "";
  if (was_sent)
    CancelAttempt(active, AttemptVerdict::kTimedOut, now);
  const Step step = active.phase == Phase::kClaiming    ? Step::kClaim
                    : was_sent                          ? Step::kEndpointCall
                    : active.phase == Phase::kRecording ? Step::kRecord
                                                        : Step::kQueue;
  Fail(active, kGatewayTimeout,
       {"deadline_exceeded", step, endpoint, "the deadline has passed",
        kRetryAfterFailure},
       now);
}

void RunCoordinator::Linger(ActiveRun& active, base::TimePoint now) {
  // For the pool the attempt ends here, so that a hung endpoint does not occupy
  // its slots.
  ReportAttempt(active, AttemptVerdict::kTimedOut, std::nullopt, now);
  CallerAnswer answer;
  answer.status = kGatewayTimeout;
  answer.executed = Executed::kUnknown;
  answer.error = {"deadline_exceeded", Step::kEndpointCall,
                  active.run.attempt_endpoint().value,
                  "the deadline has passed", kRetryAfterFailure};
  Answer(active, std::move(answer), now);
  active.is_lingering = true;
  ++lingering_count_;
  deadlines_.erase({active.expires_at, active.run.id()});
  active.expires_at = now + kBookingLinger;
  deadlines_.emplace(active.expires_at, active.run.id());
}

BookingOutcome RunCoordinator::LateOutcomeOf(
    const ActiveRun& active,
    const EndpointAnswer& answer) const {
  if (answer.echoed_attempt != base::ToText(answer.attempt))
    return BookingLeftUnresolved{};
  if (!IsSuccess(answer.status) && answer.reported_not_run)
    return BookingDidNotRun{};
  // The remaining stages would run past the deadline.
  if (IsSuccess(answer.status) && !active.run.is_last_stage())
    return BookingLeftUnresolved{};
  if (IsSuccess(answer.status) || IsDefiniteRefusal(answer.status))
    return BookingRan{answer.status, answer.body};
  return BookingLeftUnresolved{};
}

void RunCoordinator::EndLinger(ActiveRun& active,
                               const BookingOutcome& outcome,
                               base::TimePoint now) {
  const base::AttemptId attempt = *active.run.attempt();
  attempts_.erase(attempt.number);
  const bool did_not_run = std::holds_alternative<BookingDidNotRun>(outcome);
  active.run.FailAttempt(
      attempt, did_not_run ? AttemptEffect::kNotRun : AttemptEffect::kUnknown);
  // An earlier at-most-once stage may have executed although this one did not.
  if (did_not_run && active.run.may_have_run_at_most_once_stage())
    bookings_.Conclude(active.run.id(), BookingLeftUnresolved{}, now);
  else
    bookings_.Conclude(active.run.id(), outcome, now);
  Forget(active);
}

void RunCoordinator::PassOnRefusal(ActiveRun& active,
                                   const EndpointAnswer& answer,
                                   base::TimePoint now) {
  ReportAttempt(active, AttemptVerdict::kSucceeded, answer.reported_load, now);
  attempts_.erase(answer.attempt.number);
  if (answer.reported_not_run)
    active.run.FailAttempt(answer.attempt, AttemptEffect::kNotRun);
  else
    active.run.AcceptRefusal(answer.attempt);
  if (active.run.may_have_run_at_most_once_stage()) {
    Record(active, {answer.status, answer.body}, now);
    return;
  }
  CallerAnswer caller_answer;
  caller_answer.status = answer.status;
  caller_answer.executed = active.run.executed();
  caller_answer.body = answer.body;
  if (active.run.pipeline().IsAtMostOnce())
    bookings_.Conclude(active.run.id(), BookingDidNotRun{}, now);
  End(active, std::move(caller_answer), now);
}

void RunCoordinator::Record(ActiveRun& active,
                            BookingRan outcome,
                            base::TimePoint now) {
  active.phase = Phase::kRecording;
  bookings_.Conclude(active.run.id(), std::move(outcome), now);
}

void RunCoordinator::Succeed(ActiveRun& active, base::TimePoint now) {
  quarantine_.Clear(active.digest);
  if (active.run.pipeline().IsAtMostOnce()) {
    Record(active, {200, active.run.input()}, now);
    return;
  }
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
  answer.executed = active.run.pipeline().IsAtMostOnce()
                        ? ConcludeFailed(active, now)
                        : active.run.executed();
  answer.error = std::move(error);
  End(active, std::move(answer), now);
}

Executed RunCoordinator::ConcludeFailed(const ActiveRun& active,
                                        base::TimePoint now) {
  const base::RunId id = active.run.id();
  switch (active.phase) {
    case Phase::kClaiming:
      return bookings_.Withdraw(id, now);
    case Phase::kRecording:
      // The booking executed, but its answer is not durable yet and could be
      // lost with this process.
      bookings_.Withdraw(id, now);
      return Executed::kUnknown;
    case Phase::kQueued:
    case Phase::kSent:
      break;
  }
  if (active.run.may_have_run_at_most_once_stage())
    bookings_.Conclude(id, BookingLeftUnresolved{}, now);
  else
    bookings_.Conclude(id, BookingDidNotRun{}, now);
  return active.run.executed();
}

void RunCoordinator::End(ActiveRun& active,
                         CallerAnswer answer,
                         base::TimePoint now) {
  Answer(active, std::move(answer), now);
  Forget(active);
}

void RunCoordinator::Answer(ActiveRun& active,
                            CallerAnswer answer,
                            base::TimePoint now) {
  answer.request_id = RequestIdOf(active.run.id());
  const pipeline::RunRequest& run_request = active.run.request();
  recorder_.Record(
      {run_request.pipeline, run_request.team, run_request.rank,
       RunOutcomeOf(answer, active.run.deadline(), now),
       now - active.run.arrived(), std::move(active.ended_attempts)},
      now);
  if (active.has_stream_begun)
    context_.Emit(EndStream{active.caller, std::move(answer)});
  else
    context_.Emit(AnswerCaller{active.caller, std::move(answer)});
  callers_.erase(active.caller);
}

void RunCoordinator::Forget(const ActiveRun& active) {
  const base::RunId id = active.run.id();
  lingering_count_ -= active.is_lingering ? 1 : 0;
  deadlines_.erase({active.expires_at, id});
  runs_.erase(id);
}

void RunCoordinator::HandleGossipDigest(const GossipDigest& digest,
                                        base::TimePoint now) {
  for (const policy::CrashSuspicion& suspicion : digest.suspected) {
    quarantine_.NotePeerSuspicion(suspicion, now);
    EndQuarantined(suspicion.request, now);
  }
  for (const std::string& request : digest.quarantined) {
    quarantine_.NotePeerQuarantine(request, now);
    EndQuarantined(request, now);
  }
  for (const HostPoolLoad& pool_load : digest.pool_loads) {
    const auto it = pools_.find(pool_load.pool);
    if (it != pools_.end())
      it->second.NotePeerLoad(digest.host, pool_load.in_flight, now);
  }
}

void RunCoordinator::FillGossipDigest(GossipDigest& digest) const {
  digest.suspected = quarantine_.SuspicionsToGossip();
  digest.quarantined = quarantine_.QuarantinedToGossip();
  for (const policy::PoolLoad& load : Loads())
    digest.pool_loads.push_back({load.pool, load.in_flight, load.queued});
}

void RunCoordinator::NoteConfiguration(
    const std::shared_ptr<const declare::Configuration>& configuration) {
  if (current_configuration_.lock() == configuration)
    return;
  former_configurations_.push_back(current_configuration_);
  current_configuration_ = configuration;
}

bool RunCoordinator::IsPoolDeclared(const base::PoolName& pool) const {
  const auto declares = [&pool](const auto& configuration) {
    const auto held = configuration.lock();
    return held != nullptr && held->FindPool(pool) != nullptr;
  };
  return declares(current_configuration_) ||
         std::any_of(former_configurations_.begin(),
                     former_configurations_.end(), declares);
}

void RunCoordinator::DropUnusedPools() {
  const auto ended = std::erase_if(former_configurations_,
                                   [](const auto& it) { return it.expired(); });
  if (ended == 0)
    return;
  std::erase_if(pools_,
                [this](const auto& it) { return !IsPoolDeclared(it.first); });
}

void RunCoordinator::Refresh(base::TimePoint now) {
  const auto configuration = membership_.configuration();
  if (!configuration)
    return;
  NoteConfiguration(configuration);
  const policy::RankShares rank_shares = policy::SharesOf(*configuration);
  for (const declare::Pool& pool : configuration->pools) {
    const auto [it, is_new] =
        pools_.try_emplace(pool.name, pool, context_.settings().zone,
                           context_.policy(), context_.random().Next());
    it->second.Reconfigure(pool, rank_shares);
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
  if (!attempt_timeouts_.empty() &&
      (!next || attempt_timeouts_.begin()->first < *next))
    next = attempt_timeouts_.begin()->first;
  for (const auto& [name, pool] : pools_) {
    const auto wakeup = pool.NextWakeup();
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

}  // namespace bilberry::node
