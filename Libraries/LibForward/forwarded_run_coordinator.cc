#include "LibForward/forwarded_run_coordinator.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibForward/selection_criteria.h"
#include "LibPolicy/retry_jitter.h"

namespace bilberry::forward {

namespace {

constexpr std::chrono::milliseconds kRefusedRetry{300};
// Number of additional attempts, beyond the pipeline's maximum, for requests
// that no endpoint has executed.
constexpr uint32_t kMaxRefusals = 2;
// Maximum size of one event of a stream, and of all that comes between two
// events with data.
constexpr size_t kMaxEventBytes = size_t{256} * 1024;
// A request that may have crashed this many endpoints is sent to one endpoint
// at a time.
constexpr size_t kCrashesToSerialize = 2;
// Retry-After of a request whose repeat is being tried.
constexpr std::chrono::milliseconds kTrialRetry{500};
// Number of peers that are asked to carry a request before it is refused.
constexpr size_t kMaxCarriers = 3;
// Number of cells tried for a stage before its request is refused.
constexpr size_t kMaxCells = 2;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Statuses that promise the caller that its request was not executed (RFC 9110
// sections 15.5 and 15.6). They are not passed on from an endpoint that may
// have executed the request.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr int kFirstServerError = 500;

// An endpoint that hasn't read the request can't echo its id. On a connection
// used by one request only, such a refusal belongs to this request; on a reused
// connection it may be a late duplicate of an answer to an earlier request.
bool IsOwnAnswer(const ForwardedRun& run, const AnswerHead& head) {
  if (head.echoed_request_id == run.request->request_id)
    return true;
  return head.reported_not_run && head.echoed_request_id.empty() &&
         run.pipeline->repeatability == declare::Repeatability::kAtMostOnce;
}

// What may have crashed the endpoint of the run's attempt. An endpoint that has
// sent an event was not crashed by the prompt.
std::vector<policy::CrashSuspect> SuspectsOf(const ForwardedRun& run) {
  std::vector<policy::CrashSuspect> suspects{{run.digest}};
  if (!run.attempt->has_event)
    suspects.insert(suspects.end(), run.parts.begin(), run.parts.end());
  return suspects;
}

// The names of the run's parts that may crash endpoints, separated by spaces.
std::string PartsText(const ForwardedRun& run) {
  std::string text;
  for (const policy::CrashSuspect& it : run.parts)
    text += (text.empty() ? "" : " ") + it.name;
  return text;
}

// Only requests that no endpoint has executed may be reported as not executed.
LocalAnswerCode NoEndpointCode(const ForwardedRun& run) {
  return run.may_have_run() ? LocalAnswerCode::kAttemptFailed
                            : LocalAnswerCode::kNoEndpoint;
}

}  // namespace

ForwardedRunCoordinator::ForwardedRunCoordinator(
    ForwardContext& context,
    EndpointChooser& chooser,
    StageJobRouter& stages,
    PermitCoordinator& permits,
    PlacementCoordinator& placements,
    StreamVersions& streams,
    const PeerDirectory& peers)
    : context_(context),
      stage_job_router_(stages),
      chooser_(chooser),
      random_(context.options().seed + 1),
      placements_(context, placements, chooser),
      stream_versions_(streams),
      carriers_(peers, context.options().own, context.options().seed + 8),
      admission_(context,
                 stages,
                 chooser,
                 placements_,
                 streams,
                 carriers_,
                 random_),
      permits_(context, permits, chooser_),
      budgets_(context.options().retry_allowance) {}

void ForwardedRunCoordinator::Handle(ForwardedRequest request,
                                     base::TimePoint now) {
  const base::CallerId caller = request.caller;
  auto run = admission_.Admit(std::move(request), now);
  if (!run)
    return;
  // The peer that carries it counts it.
  if (!run->uses_carrier)
    budgets_.Of(run->final_pool).NoteFirstAttempt();
  timers_.Add(caller, *run);
  if (run->awaits_origin && !run->uses_carrier)
    stream_versions_.LookUp(run->request->resumed_stream, run->final_pool,
                            caller, now);
  runs_.emplace(caller, std::move(*run));
  Advance(caller, now);
}

void ForwardedRunCoordinator::Advance(base::CallerId caller,
                                      base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  if (run.uses_carrier) {
    if (!run.attempt)
      SendToCarrier(caller, now);
    return;
  }
  for (const size_t stage : run.ReadyStages()) {
    const base::TimePoint due = run_times_.StartTimeOf(run, stage, now);
    if (due <= now)
      RequestStage(caller, run, stage, now);
    else
      timers_.ScheduleRecheck(caller, run, due);
  }
  if (RunPlacements::IsRequestDue(run))
    placements_.Request(caller, run, run_times_.StagesEndOf(run, now), now);
  if (!run.attempt && !run.permit_request && !run.placement_request &&
      !run.awaits_origin && run.AreStagesDone())
    SendFinal(caller, now);
}

void ForwardedRunCoordinator::RequestStage(base::CallerId caller,
                                           ForwardedRun& run,
                                           size_t stage,
                                           base::TimePoint now) {
  const ForwardedStage& declared = run.pipeline->stages[stage];
  StageState& state = run.stages[stage];
  StageJob job;
  job.request_id = run.request->request_id;
  job.digest = run.digest;
  job.pipeline = run.pipeline->name;
  job.pool = declared.pool;
  job.cell = run.cell;
  job.stage = static_cast<uint32_t>(stage);
  job.piece_count = state.pieces;
  if (declared.after.empty())
    job.input = run.request->piece_key;
  else
    job.input = run.InputsOf(stage);
  job.result_bytes = declared.result_bytes;
  job.urgency = run.urgency;
  job.until_target = run.target - now;
  job.until_deadline = run.begin_deadline - now;
  if (const auto inputs_expire = run.InputsExpireAt(stage))
    job.until_inputs_expire = *inputs_expire - now;
  job.time_after = run_times_.TimeAfter(run, stage, now);
  state.time_after = job.time_after;
  job.reader_zone = run.final_zone;
  job.cross_zone_bytes = run.BytesMoved(stage);
  job.progress =
      run.HasBegun() ? RequestProgress::kUnderWay : RequestProgress::kNew;
  state.phase = StagePhase::kRequested;
  state.requested_at = now;
  state.job_request = stage_job_router_.Request(std::move(job), now);
  job_requests_.emplace(state.job_request, std::pair(caller, stage));
}

// Outcomes of one kind can cause requests of another, so this repeats until no
// outcome is left.
void ForwardedRunCoordinator::ProcessOutcomes(base::TimePoint now) {
  do
    ProcessStageOutcomes(now);
  while (ProcessLookups(now) || ProcessOutcomesOf(placements_, now) ||
         ProcessOutcomesOf(permits_, now));
}

bool ForwardedRunCoordinator::CanGoOn(const ForwardedRun& run,
                                      base::TimePoint now) {
  return !std::holds_alternative<NoEndpointAvailable>(
      chooser_.Choose(EndpointCriteriaOf(run, now), now));
}

bool ForwardedRunCoordinator::ProcessLookups(base::TimePoint now) {
  bool has_any = false;
  while (const auto lookup = stream_versions_.TakeLookup()) {
    const auto it = runs_.find(lookup->caller);
    if (it == runs_.end() || !it->second.awaits_origin)
      continue;
    has_any = true;
    ForwardedRun& run = it->second;
    run.awaits_origin = false;
    const auto& origin = lookup->origin;
    if (origin)
      run.GoOnAt(origin->pool, origin->software_version);
    context_.Log(base::LogEventId::kStreamLookedUp, run.request->request_id,
                 {{"stream", lookup->stream},
                  {"outcome", std::string(ToText(lookup->evidence))},
                  {"version", origin ? origin->software_version : ""}});
    if (!origin || !CanGoOn(run, now))
      AnswerAndEnd(lookup->caller, LocalAnswerCode::kNoEndpoint,
                   kNoEndpointRetry, now);
    else
      Advance(lookup->caller, now);
  }
  return has_any;
}

// A stream that a caller has taken up began in an earlier attempt.
void ForwardedRunCoordinator::NoteStreamBegun(const ForwardedRun& run,
                                              base::TimePoint now) {
  if (run.pipeline->may_resume && !run.request->last_event)
    stream_versions_.NoteBegun(run.request->request_id,
                               {run.final_pool, run.attempt->software_version},
                               now);
}

void ForwardedRunCoordinator::ProcessStageOutcomes(base::TimePoint now) {
  for (auto outcomes = stage_job_router_.TakeOutcomes(); !outcomes.empty();
       outcomes = stage_job_router_.TakeOutcomes()) {
    for (auto& [id, outcome] : outcomes) {
      const auto node = job_requests_.extract(id);
      if (node.empty())
        continue;
      const auto [caller, stage] = node.mapped();
      LogStage(runs_.at(caller), stage, outcome, now);
      if (auto* results = std::get_if<LocatedResults>(&outcome)) {
        StoreResults(caller, stage, std::move(*results), now);
        continue;
      }
      const auto& failure = std::get<JobFailure>(outcome);
      if (RetryInOtherCell(caller, stage, failure, now))
        continue;
      runs_.at(caller).stages[stage].phase = StagePhase::kDone;
      if (IsToBeCarried(runs_.at(caller), now)) {
        BeginCarrying(caller, now);
        continue;
      }
      AnswerAndEnd(caller,
                   failure.kind == JobFailureKind::kTooLate
                       ? LocalAnswerCode::kTooLate
                   : failure.kind == JobFailureKind::kNoEndpoint ||
                           failure.kind == JobFailureKind::kHostLost
                       ? LocalAnswerCode::kNoEndpoint
                       : LocalAnswerCode::kStageFailed,
                   failure.retry_after, now);
    }
  }
}

bool ForwardedRunCoordinator::RetryInOtherCell(base::CallerId caller,
                                               size_t stage,
                                               const JobFailure& failure,
                                               base::TimePoint now) {
  const bool may_do_better = failure.kind == JobFailureKind::kTooLate ||
                             failure.kind == JobFailureKind::kNoEndpoint ||
                             failure.kind == JobFailureKind::kHostLost;
  ForwardedRun& run = runs_.at(caller);
  if (!may_do_better || run.cells_tried.size() + 1 >= kMaxCells ||
      now >= run.begin_deadline)
    return false;
  run.cells_tried.push_back(run.cell);
  const auto cell = stage_job_router_.ChooseCell(CellCriteriaOf(run), now);
  if (!cell)
    return false;
  run.cell = *cell;
  RequestStage(caller, run, stage, now);
  return true;
}

void ForwardedRunCoordinator::LogStage(const ForwardedRun& run,
                                       size_t stage,
                                       const JobRequestOutcome& outcome,
                                       base::TimePoint now) {
  const StageState& state = run.stages[stage];
  std::vector<LogField> fields{
      {"stage", std::to_string(stage)},
      {"pool", run.pipeline->stages[stage].pool.value},
      {"pieces", std::to_string(state.pieces)},
      {"ms", ToMilliseconds(now - state.requested_at)},
      {"left_ms", ToMilliseconds(run.target - state.requested_at)},
      {"after_ms", ToMilliseconds(state.time_after)}};
  std::visit(
      base::Overloaded{
          [&fields](const LocatedResults& it) {
            fields.push_back({"outcome", "made"});
            fields.push_back({"dispatcher", it.host.value});
          },
          [&fields](const JobFailure& it) {
            fields.push_back({"outcome", std::string(ToText(it.kind))});
            fields.push_back({"retry_ms", ToMilliseconds(it.retry_after)});
          },
      },
      outcome);
  context_.Log(base::LogEventId::kStageEnded, run.request->request_id,
               std::move(fields));
}

void ForwardedRunCoordinator::StoreResults(base::CallerId caller,
                                           size_t stage,
                                           LocatedResults results,
                                           base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  run_times_.NoteJob(run, stage, now);
  run.stages[stage].phase = StagePhase::kDone;
  run.stages[stage].done = now;
  run.cells_tried.clear();
  run.stages[stage].results = std::move(results);
  for (const size_t before : run.pipeline->stages[stage].after) {
    if (run.IsReadByAll(before))
      ReleaseStage(run.stages[before], now);
  }
  Advance(caller, now);
}

template <typename Requests>
bool ForwardedRunCoordinator::ProcessOutcomesOf(Requests& requests,
                                                base::TimePoint now) {
  const auto outcomes = requests.TakeOutcomes();
  for (const auto& outcome : outcomes) {
    const auto caller = requests.TakeCaller(outcome.id);
    if (!caller)
      continue;
    requests.Note(outcome, runs_.at(*caller), now);
    Advance(*caller, now);
  }
  return !outcomes.empty();
}

bool ForwardedRunCoordinator::SendWithPermit(base::CallerId caller,
                                             base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  if (run.permit && now < run.permit->begins) {
    timers_.ScheduleRecheck(caller, run, run.permit->begins);
    return true;
  }
  const auto endpoint = permits_.Use(run, now);
  if (!endpoint)
    return false;
  SendTo(*endpoint, std::nullopt, caller, now);
  return true;
}

bool ForwardedRunCoordinator::IsInFlight(const std::string& digest) const {
  return std::ranges::any_of(runs_, [&digest](const auto& it) {
    return it.second.attempt && it.second.digest == digest;
  });
}

bool ForwardedRunCoordinator::EndIfPartRefused(base::CallerId caller,
                                               base::TimePoint now) {
  const ForwardedRun& run = runs_.at(caller);
  const auto refused =
      context_.conditions().crashes.FindRefusedPart(run.parts, now);
  if (!refused)
    return false;
  EndAsQuarantined(caller, refused->until - now, now);
  return true;
}

void ForwardedRunCoordinator::EndRefusedParts(base::TimePoint now) {
  std::vector<base::CallerId> unbegun;
  for (const auto& [caller, run] : runs_) {
    if (!run.has_begun_stream && !(run.attempt && run.attempt->has_begun))
      unbegun.push_back(caller);
  }
  for (const base::CallerId caller : unbegun)
    EndIfPartRefused(caller, now);
}

void ForwardedRunCoordinator::EndAsQuarantined(base::CallerId caller,
                                               base::Duration retry_after,
                                               base::TimePoint now) {
  AnswerAndEnd(caller,
               runs_.at(caller).may_have_run() ? LocalAnswerCode::kAttemptFailed
                                               : LocalAnswerCode::kQuarantined,
               retry_after, now);
}

bool ForwardedRunCoordinator::HoldSuspect(base::CallerId caller,
                                          base::TimePoint now) {
  if (EndIfPartRefused(caller, now))
    return true;
  ForwardedRun& run = runs_.at(caller);
  CrashTracker& crashes = context_.conditions().crashes;
  run.is_undecided = false;
  const size_t count = crashes.CrashCountOf(run.digest);
  if (count == 0)
    return false;
  if (const auto until = crashes.UndecidedUntil(run.digest, now)) {
    run.is_undecided = true;
    timers_.ScheduleRecheck(caller, run, *until);
    return true;
  }
  const bool is_quarantined = crashes.IsQuarantined(run.digest, now);
  if (!is_quarantined &&
      (count < kCrashesToSerialize || !IsInFlight(run.digest)))
    return false;
  EndAsQuarantined(
      caller,
      is_quarantined ? base::Duration(policy::kQuarantinePeriod) : kTrialRetry,
      now);
  return true;
}

void ForwardedRunCoordinator::SendDecided(base::TimePoint now) {
  std::vector<base::CallerId> decided;
  for (const auto& [caller, run] : runs_) {
    if (run.is_undecided &&
        !context_.conditions().crashes.UndecidedUntil(run.digest, now))
      decided.push_back(caller);
  }
  for (const base::CallerId caller : decided)
    Advance(caller, now);
}

void ForwardedRunCoordinator::SendFinal(base::CallerId caller,
                                        base::TimePoint now) {
  if (HoldSuspect(caller, now) || SendWithPermit(caller, now))
    return;
  ForwardedRun& run = runs_.at(caller);
  if (const auto placed = placements_.Use(run, now)) {
    SendTo(placed->listed, placed->id, caller, now);
    return;
  }
  EndpointCriteria criteria = EndpointCriteriaOf(run, now);
  criteria.is_suspect =
      context_.conditions().crashes.CrashCountOf(run.digest) > 0;
  std::visit(base::Overloaded{
                 [&](const ListedEndpoint& it) {
                   SendTo(it, std::nullopt, caller, now);
                 },
                 [&](const RateLimitedEndpoint& it) {
                   permits_.Request(it, caller, run, now);
                 },
                 [&](const NoEndpointUntil& it) {
                   WaitUntilAvailable(caller, it.until, now);
                 },
                 [&](const NoEndpointAvailable&) {
                   AnswerAndEnd(caller, NoEndpointCode(run), kNoEndpointRetry,
                                now);
                 },
             },
             chooser_.Choose(criteria, now));
}

// The results of the run's stages are kept by waiting, as long as there is time
// left for the answer afterwards.
void ForwardedRunCoordinator::WaitUntilAvailable(base::CallerId caller,
                                                 base::TimePoint until,
                                                 base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  if (until + kMinFinalTime < run.begin_deadline) {
    timers_.ScheduleRecheck(caller, run, until);
    return;
  }
  AnswerAndEnd(caller, NoEndpointCode(run), until - now, now);
}

void ForwardedRunCoordinator::SendTo(
    const ListedEndpoint& endpoint,
    std::optional<PlacementRequestId> placement,
    base::CallerId caller,
    base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  SendAttempt send;
  send.attempt = {context_.options().incarnation, ++last_attempt_};
  send.endpoint = endpoint.name;
  send.incarnation = endpoint.incarnation;
  send.address = endpoint.address;
  send.request = run.request;
  send.delivery = run.pipeline->delivery;
  send.repeatability = run.pipeline->repeatability;
  send.left = run.deadline - now;
  send.team = run.team;
  send.urgency = run.urgency;
  send.inputs = run.FinalInputs();
  if (run.has_begun_stream)
    send.resume_after = run.last_event;
  const bool is_suspect =
      context_.conditions().crashes.CrashCountOf(run.digest) > 0;
  run.attempt = FinalAttempt{send.attempt,
                             endpoint.name,
                             endpoint.address,
                             now,
                             {},
                             false,
                             false,
                             is_suspect,
                             placement,
                             {},
                             endpoint.software_version};
  run.tried.push_back(endpoint.name);
  attempts_.emplace(send.attempt.number, caller);
  chooser_.NoteBegun(endpoint.name, is_suspect, now);
  context_.Log(base::LogEventId::kAttemptSent, run.request->request_id,
               {{"endpoint", endpoint.name.value},
                {"zone", endpoint.zone.value},
                {"team", run.team ? run.team->value : ""},
                {"placed_by", placement ? "owner" : "host"},
                {"resumed", run.has_begun_stream ? "yes" : "no"},
                {"version", endpoint.software_version},
                {"takes_up", run.request->last_event ? "yes" : "no"},
                {"stream", run.request->resumed_stream},
                {"left_ms", ToMilliseconds(send.left)}});
  context_.Emit(std::move(send));
}

bool ForwardedRunCoordinator::IsToBeCarried(const ForwardedRun& run,
                                            base::TimePoint now) {
  return !run.uses_carrier && !run.request->is_carried && !run.may_have_run() &&
         !run.has_begun_stream && is_sending_ &&
         context_.conditions().reach.IsCutFrom(run.final_pool) &&
         carriers_.HasAny(now);
}

void ForwardedRunCoordinator::CarryUnreachable(base::TimePoint now) {
  std::vector<base::CallerId> unreachable;
  for (const auto& [caller, run] : runs_) {
    if (IsToBeCarried(run, now))
      unreachable.push_back(caller);
  }
  for (const base::CallerId caller : unreachable)
    BeginCarrying(caller, now);
}

void ForwardedRunCoordinator::BeginCarrying(base::CallerId caller,
                                            base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  WithdrawRequests(run, now);
  run.permit_request.reset();
  run.permit.reset();
  run.awaits_origin = false;
  run.uses_carrier = true;
  SendToCarrier(caller, now);
}

void ForwardedRunCoordinator::SendToCarrier(base::CallerId caller,
                                            base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  const auto peer = run.carriers_tried.size() < kMaxCarriers
                        ? carriers_.Choose(run.carriers_tried, now)
                        : std::nullopt;
  if (!peer) {
    AnswerAndEnd(caller, NoEndpointCode(run), kNoEndpointRetry, now);
    return;
  }
  CarryRequest carry;
  carry.attempt = {context_.options().incarnation, ++last_attempt_};
  carry.address = peer->address;
  carry.request = run.request;
  carry.delivery = run.pipeline->delivery;
  carry.repeatability = run.pipeline->repeatability;
  carry.left = run.deadline - now;
  run.attempt.emplace();
  run.attempt->id = carry.attempt;
  run.attempt->address = peer->address;
  run.attempt->sent = now;
  run.carriers_tried.push_back(peer->name);
  carriers_.NoteBegun(peer->name);
  attempts_.emplace(carry.attempt.number, caller);
  context_.Log(base::LogEventId::kRequestCarried, run.request->request_id,
               {{"host", peer->name.value},
                {"pool", run.final_pool.value},
                {"left_ms", ToMilliseconds(carry.left)}});
  context_.Emit(std::move(carry));
}

std::optional<base::CallerId> ForwardedRunCoordinator::CallerOf(
    const base::AttemptId& attempt) const {
  const auto it = attempts_.find(attempt.number);
  if (it == attempts_.end())
    return std::nullopt;
  return it->second;
}

ForwardedRunCoordinator::AnswerClass ForwardedRunCoordinator::ClassifyAnswer(
    const ForwardedRun& run,
    const AnswerHead& head) const {
  // What a peer answers has been judged there.
  if (run.uses_carrier)
    return head.echoed_request_id == run.request->request_id
               ? AnswerClass::kPass
               : AnswerClass::kInvalid;
  if (!IsOwnAnswer(run, head))
    return AnswerClass::kInvalid;
  // Once events have been streamed, the request was executed, even if a later
  // head claims the contrary.
  if (head.reported_not_run)
    return run.attempt->has_begun ? AnswerClass::kFailed : AnswerClass::kNotRun;
  if (head.is_encoded)
    return AnswerClass::kInvalid;
  if (!head.is_sealed && IsSuccess(head.status))
    return AnswerClass::kInvalid;
  if (head.status >= kFirstServerError || PromisesNotRun(head.status))
    return AnswerClass::kFailed;
  // A rejection or an unstreamed answer can't continue a stream.
  if (run.has_begun_stream && StreamKindOf(head) != run.stream_kind)
    return AnswerClass::kFailed;
  return AnswerClass::kPass;
}

void ForwardedRunCoordinator::BeginStreaming(ForwardedRun& run,
                                             AnswerHead head,
                                             base::TimePoint now) {
  if (!run.uses_carrier)
    run_times_.NoteFirstByte(run, now);
  run.attempt->has_begun = true;
  if (!run.first_byte)
    run.first_byte = now;
  // The endpoint has read all its inputs when it sends the first event.
  ReleaseAll(run, now);
  if (run.has_begun_stream)
    return;
  run.has_begun_stream = true;
  run.stream_version = run.attempt->software_version;
  run.stream_kind = StreamKindOf(head);
  context_.Emit(BeginStream{run.request->caller, std::move(head)});
}

void ForwardedRunCoordinator::Handle(AttemptChunk event, base::TimePoint now) {
  const auto caller = CallerOf(event.attempt);
  if (!caller)
    return;
  ForwardedRun& run = runs_.at(*caller);
  if (event.head && ClassifyAnswer(run, *event.head) != AnswerClass::kPass) {
    context_.Emit(CancelAttempt{event.attempt});
    FailAttempt(*caller, AttemptOutcome::kFailed, "unusable stream head", now);
    return;
  }
  if (event.head) {
    NoteReached(run, now);
    BeginStreaming(run, std::move(*event.head), now);
  }
  std::string whole;
  for (StreamEvent& it : run.attempt->splitter.Add(event.bytes)) {
    whole += it.bytes;
    run.attempt->bytes_without_data =
        it.has_data ? 0 : run.attempt->bytes_without_data + it.bytes.size();
    run.has_unnamed_data = !it.id && (run.has_unnamed_data || it.has_data);
    if (it.id)
      run.last_event = std::move(it.id);
  }
  if (!whole.empty()) {
    if (!std::exchange(run.attempt->has_event, true) && !run.uses_carrier) {
      context_.conditions().crashes.NoteBegun(run.parts, now);
      placements_.NoteFirstEvent(run, now);
      NoteStreamBegun(run, now);
    }
    run.attempt->pauses.NoteEvent(now);
    run.pauses.NoteEvent(now);
    context_.Emit(StreamToCaller{*caller, std::move(whole)});
  }
  if (run.attempt->bytes_without_data + run.attempt->splitter.rest_bytes() <=
      kMaxEventBytes)
    return;
  context_.Emit(CancelAttempt{event.attempt});
  FailAttempt(*caller, AttemptOutcome::kFailed, "bytes without an event", now);
}

// A request that may be repeated may have gone over an open connection.
void ForwardedRunCoordinator::NoteReached(const ForwardedRun& run,
                                          base::TimePoint now) {
  if (!run.uses_carrier &&
      run.pipeline->repeatability == declare::Repeatability::kAtMostOnce)
    context_.conditions().reach.NoteReached(run.attempt->endpoint,
                                            run.attempt->sent, now);
}

size_t ForwardedRunCoordinator::KeptStreamBytes(
    const base::AttemptId& attempt) const {
  const auto caller = CallerOf(attempt);
  if (!caller)
    return 0;
  const ForwardedRun& run = runs_.at(*caller);
  return run.attempt->splitter.rest_bytes() +
         (run.last_event ? run.last_event->size() : 0);
}

void ForwardedRunCoordinator::Handle(AttemptAnswer event, base::TimePoint now) {
  const auto caller = CallerOf(event.attempt);
  if (!caller)
    return;
  ForwardedRun& run = runs_.at(*caller);
  NoteReached(run, now);
  const AnswerClass answer_class = ClassifyAnswer(run, event.head);
  if (!run.uses_carrier &&
      (answer_class == AnswerClass::kPass ||
       (answer_class == AnswerClass::kFailed && event.head.is_sealed)))
    context_.conditions().crashes.NoteAnswered(run.digest, now);
  switch (answer_class) {
    case AnswerClass::kNotRun:
      FailAttempt(*caller, AttemptOutcome::kRefused,
                  "refused with " + std::to_string(event.head.status), now);
      return;
    case AnswerClass::kInvalid:
      context_.Log(base::LogEventId::kConnectionsCondemned,
                   run.request->request_id,
                   {{"endpoint", run.attempt->endpoint.value}});
      context_.Emit(RetireConnections{run.attempt->address});
      FailAttempt(*caller, AttemptOutcome::kFailed, "invalid answer", now);
      return;
    case AnswerClass::kFailed:
      if (!run.has_begun_stream && !PromisesNotRun(event.head.status) &&
          !MaySendAgain(run, AttemptOutcome::kFailed))
        break;
      FailAttempt(*caller, AttemptOutcome::kFailed,
                  "answered " + std::to_string(event.head.status), now);
      return;
    case AnswerClass::kPass:
      break;
  }
  if (run.attempt->splitter.is_inside_event()) {
    FailAttempt(*caller, AttemptOutcome::kFailed,
                "stream ended inside an event", now);
    return;
  }
  if (!run.uses_carrier)
    context_.conditions().crashes.NoteBegun(run.parts, now);
  EndAttempt(run, AttemptOutcome::kAnswered, now);
  if (!run.first_byte)
    run.first_byte = now;
  std::string outcome = "answered " + std::to_string(event.head.status);
  if (run.has_begun_stream) {
    if (!run.uses_carrier)
      stream_versions_.Forget(run.request->last_event
                                  ? run.request->resumed_stream
                                  : run.request->request_id);
    context_.Emit(EndStream{*caller, StreamOutcome::kWhole});
  } else {
    context_.Emit(
        ForwardAnswer{*caller, std::move(event.head), std::move(event.body)});
  }
  EndRun(*caller, std::move(outcome), now);
}

void ForwardedRunCoordinator::Handle(const AttemptFailure& event,
                                     base::TimePoint now) {
  const auto caller = CallerOf(event.attempt);
  if (!caller)
    return;
  const ForwardedRun& run = runs_.at(*caller);
  ReachMonitor& reach = context_.conditions().reach;
  const bool is_unreachable = event.kind == AttemptFailureKind::kUnreachable;
  if (run.uses_carrier && is_unreachable)
    carriers_.NoteDeclined(run.carriers_tried.back(), now);
  else if (is_unreachable)
    reach.NoteUnreachable(run.attempt->endpoint, ReachMonitor::Purpose::kWork,
                          run.attempt->sent, now);
  // Behind a cut the connection says nothing about the endpoint.
  else if (!run.uses_carrier && !reach.is_cut_off())
    context_.conditions().crashes.NoteBroken(run.attempt->endpoint,
                                             SuspectsOf(run), now);
  FailAttempt(*caller,
              event.kind == AttemptFailureKind::kUnreachable
                  ? AttemptOutcome::kUnreachable
                  : AttemptOutcome::kFailed,
              event.detail, now);
}

void ForwardedRunCoordinator::EndAttempt(ForwardedRun& run,
                                         AttemptOutcome outcome,
                                         base::TimePoint now) {
  if (run.uses_carrier) {
    carriers_.NoteEnded(run.carriers_tried.back());
  } else {
    chooser_.NoteEnded(run.attempt->endpoint, outcome, run.attempt->is_suspect,
                       now);
    placements_.NoteAttemptEnded(run, outcome, now);
  }
  attempts_.erase(run.attempt->id.number);
  run.attempt.reset();
}

bool ForwardedRunCoordinator::MaySendAgain(const ForwardedRun& run,
                                           AttemptOutcome outcome) {
  if (!is_sending_)
    return false;
  const bool may_have_run = outcome == AttemptOutcome::kFailed;
  const uint32_t runs = run.runs + (may_have_run ? 1 : 0);
  const bool may_repeat =
      run.pipeline->repeatability == declare::Repeatability::kRepeatable ||
      (run.pipeline->may_resume && !run.has_unnamed_data);
  if (runs > 0 && (!may_repeat || runs >= run.pipeline->max_attempts))
    return false;
  // The peer has sent the request as often as it may be sent.
  if (run.uses_carrier)
    return !may_have_run && !run.has_begun_stream;
  if (run.tried.size() >= run.pipeline->max_attempts + kMaxRefusals)
    return false;
  // An attempt that never reached an endpoint puts no load on the pool and
  // needs no retry budget.
  return outcome == AttemptOutcome::kUnreachable ||
         budgets_.Of(run.final_pool).CanAfford();
}

void ForwardedRunCoordinator::FailAttempt(base::CallerId caller,
                                          AttemptOutcome outcome,
                                          std::string reason,
                                          base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  const bool may_send_again = MaySendAgain(run, outcome);
  context_.Log(base::LogEventId::kAttemptFailed, run.request->request_id,
               {{"endpoint", run.attempt->endpoint.value},
                {"verdict", std::string(ToText(outcome))},
                {"digest", run.digest},
                {"parts", PartsText(run)},
                {"begun", run.attempt->has_event ? "yes" : "no"},
                {"reason", std::move(reason)},
                {"sent_again", may_send_again ? "yes" : "no"}});
  EndAttempt(run, outcome, now);
  if (outcome == AttemptOutcome::kFailed)
    ++run.runs;
  if (IsToBeCarried(run, now)) {
    BeginCarrying(caller, now);
    return;
  }
  if (may_send_again) {
    if (outcome != AttemptOutcome::kUnreachable)
      budgets_.Of(run.final_pool).TryTake();
    // An attempt that may have been executed may have consumed its inputs, so
    // the stages run again.
    if (run.runs > 0) {
      ReleaseAll(run, now);
      run.stages = InitialStages(*run.pipeline, *run.request);
    }
    Advance(caller, now);
    return;
  }
  AnswerAndEnd(caller,
               run.may_have_run() ? LocalAnswerCode::kAttemptFailed
                                  : LocalAnswerCode::kRefusedByEndpoint,
               RetryAfterRefusal(run, now), now);
}

base::Duration ForwardedRunCoordinator::RetryAfterRefusal(
    const ForwardedRun& run,
    base::TimePoint now) const {
  const auto available = chooser_.AvailableFrom(run.final_pool);
  return std::max<base::Duration>(kRefusedRetry, available.value_or(now) - now);
}

void ForwardedRunCoordinator::AnswerAndEnd(
    base::CallerId caller,
    LocalAnswerCode code,
    std::optional<base::Duration> retry_after,
    base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  if (retry_after)
    retry_after = policy::AddJitter(*retry_after, random_);
  if (run.has_begun_stream)
    context_.Emit(EndStream{caller, StreamOutcome::kCut});
  else
    context_.Emit(
        AnswerCaller{caller, run.request->request_id, code, retry_after});
  EndRun(caller, std::string(ToText(code)), now);
}

void ForwardedRunCoordinator::ReleaseStage(StageState& stage,
                                           base::TimePoint now) {
  if (!stage.results)
    return;
  stage_job_router_.Release(*stage.results, now);
  stage.results.reset();
}

void ForwardedRunCoordinator::ReleaseAll(ForwardedRun& run,
                                         base::TimePoint now) {
  for (StageState& stage : run.stages)
    ReleaseStage(stage, now);
}

void ForwardedRunCoordinator::WithdrawRequests(ForwardedRun& run,
                                               base::TimePoint now) {
  for (const StageState& stage : run.stages) {
    if (stage.phase != StagePhase::kRequested)
      continue;
    job_requests_.erase(stage.job_request);
    stage_job_router_.Withdraw(stage.job_request);
  }
  ReleaseAll(run, now);
  permits_.Withdraw(run);
  placements_.Withdraw(run, now);
}

void ForwardedRunCoordinator::EndRun(base::CallerId caller,
                                     std::string outcome,
                                     base::TimePoint now) {
  const auto node = runs_.extract(caller);
  if (node.empty())
    return;
  ForwardedRun& run = node.mapped();
  WithdrawRequests(run, now);
  if (run.attempt) {
    context_.Emit(CancelAttempt{run.attempt->id});
    EndAttempt(run, AttemptOutcome::kCancelled, now);
  }
  timers_.Remove(caller, run);
  context_.Log(
      base::LogEventId::kRequestEnded, run.request->request_id,
      {{"outcome", std::move(outcome)},
       {"pipeline", run.pipeline->name.value},
       {"team", run.team ? run.team->value : ""},
       {"urgency", std::to_string(static_cast<uint32_t>(run.urgency))},
       {"revision", std::to_string(run.configuration->revision)},
       {"ms", ToMilliseconds(now - run.arrived)},
       {"first_ms",
        run.first_byte ? ToMilliseconds(*run.first_byte - run.arrived) : ""},
       {"longest_pause_ms",
        run.pauses.longest() ? ToMilliseconds(*run.pauses.longest()) : ""},
       {"target_ms", ToMilliseconds(run.target - run.arrived)},
       {"deadline_ms", ToMilliseconds(run.deadline - run.arrived)},
       {"endpoint", run.tried.empty() ? "" : run.tried.back().value}});
}

void ForwardedRunCoordinator::Handle(const CallerDisconnected& event,
                                     base::TimePoint now) {
  EndRun(event.caller, "caller_left", now);
}

void ForwardedRunCoordinator::HandleTimer(base::TimePoint now) {
  while (const auto caller = timers_.TakeDueRecheck(now)) {
    runs_.at(*caller).recheck_at.reset();
    Advance(*caller, now);
  }
  while (const auto caller = timers_.TakeDeadline(now)) {
    const ForwardedRun& run = runs_.at(*caller);
    if (run.has_begun_stream && now < run.deadline) {
      timers_.ExtendToDeadline(*caller, run);
      continue;
    }
    AnswerAndEnd(*caller,
                 run.may_have_run() ? LocalAnswerCode::kTimeout
                                    : LocalAnswerCode::kTooLate,
                 kRefusedRetry, now);
  }
}

void ForwardedRunCoordinator::StopSending(base::TimePoint now) {
  if (!std::exchange(is_sending_, false))
    return;
  std::vector<base::CallerId> unsent;
  for (const auto& [caller, run] : runs_) {
    if (!run.attempt)
      unsent.push_back(caller);
  }
  for (const base::CallerId caller : unsent)
    EndForStop(caller, now);
}

void ForwardedRunCoordinator::EndAll(base::TimePoint now) {
  while (!runs_.empty())
    EndForStop(runs_.begin()->first, now);
}

void ForwardedRunCoordinator::EndForStop(base::CallerId caller,
                                         base::TimePoint now) {
  AnswerAndEnd(caller,
               runs_.at(caller).may_have_run() ? LocalAnswerCode::kAttemptFailed
                                               : LocalAnswerCode::kStopping,
               kStoppingRetry, now);
}

}  // namespace bilberry::forward
