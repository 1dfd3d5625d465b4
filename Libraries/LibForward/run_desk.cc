#include "LibForward/run_desk.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibPolicy/retry_spread.h"

namespace bilberry::forward {

namespace {

// When to come back to a host that has no configuration yet.
constexpr std::chrono::milliseconds kNotReadyRetry{500};
// When to come back to another host than this one, which stops.
constexpr std::chrono::milliseconds kStoppingRetry{50};
constexpr std::chrono::milliseconds kNoEndpointRetry{1000};
constexpr std::chrono::milliseconds kRefusedRetry{300};
// A request is taken on though all endpoints want to be left alone, if one of
// them opens within this time.
constexpr std::chrono::milliseconds kWaitAtDoor{50};
// The most urgent requests wait so long for a permit, the others half of it
// for each step of urgency.
constexpr std::chrono::milliseconds kLongestPermitWait{1000};
constexpr uint32_t kMostHalvings = 5;
// A request that no endpoint has run may be sent to this many more than those
// that may run it.
constexpr uint32_t kMaxRefusals = 2;
// Of one event of a stream.
constexpr size_t kMaxEventBytes = size_t{256} * 1024;
// How many cells may refuse a stage before its request is refused.
constexpr size_t kMaxCells = 2;
// For requests that name no deadline on pipelines that have none.
constexpr std::chrono::seconds kLongestRun{60};

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Statuses that promise a caller that its request has not run (RFC 9110
// sections 15.5 and 15.6); an endpoint that ran it may not have them passed on.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr int kFirstServerError = 500;

// The longest prefix that other requests may share: the last part is the
// request's own, the one before it is its session's.
std::string_view SharedPartOf(const std::vector<PrefixPart>& prefix) {
  if (prefix.empty())
    return {};
  return prefix.size() == 1 ? prefix.front().id : prefix[prefix.size() - 2].id;
}

// No longer than there is time for the answer behind it.
base::Duration LongestPermitWait(const ForwardedRun& run, base::TimePoint now) {
  const uint32_t halvings =
      std::min(static_cast<uint32_t>(run.urgency), kMostHalvings);
  const base::Duration left = run.begin_deadline - now - kLeastFinalTime;
  return std::clamp<base::Duration>(left, base::Duration(0),
                                    kLongestPermitWait / (1U << halvings));
}

// Only what no endpoint has run may be told as not run.
OwnAnswerCode NoEndpointCode(const ForwardedRun& run) {
  return run.may_have_run() ? OwnAnswerCode::kAttemptFailed
                            : OwnAnswerCode::kNoEndpoint;
}

}  // namespace

std::string_view ToText(OwnAnswerCode code) {
  switch (code) {
    case OwnAnswerCode::kBadRequest:
      return "bad_request";
    case OwnAnswerCode::kUnknownKey:
      return "unknown_key";
    case OwnAnswerCode::kUnknownPipeline:
      return "unknown_pipeline";
    case OwnAnswerCode::kNotReady:
      return "not_ready";
    case OwnAnswerCode::kStopping:
      return "stopping";
    case OwnAnswerCode::kNoEndpoint:
      return "no_endpoint";
    case OwnAnswerCode::kTooLate:
      return "too_late";
    case OwnAnswerCode::kRefusedByEndpoint:
      return "refused_by_endpoint";
    case OwnAnswerCode::kStageFailed:
      return "stage_failed";
    case OwnAnswerCode::kAttemptFailed:
      return "attempt_failed";
    case OwnAnswerCode::kTimeout:
      return "timeout";
  }
  return "unknown";
}

RunDesk::RunDesk(ForwardContext& context,
                 StageDesk& stages,
                 PermitDesk& permits)
    : context_(context),
      stage_desk_(stages),
      permit_desk_(permits),
      chooser_(context.options().seed, context.words()),
      random_(context.options().seed + 1) {}

void RunDesk::SetConfiguration(
    std::shared_ptr<const ForwardConfiguration> configuration) {
  configuration_ = std::move(configuration);
}

// The budgets of all hosts add up: what each has saved up may be spent at one
// moment, when endpoints of a pool fail.
void RunDesk::SetFleetSize(size_t hosts) {
  const auto& slack = context_.options().retry_slack;
  if (!slack)
    return;
  saved_retries_ =
      std::min(*slack / static_cast<uint32_t>(std::max<size_t>(hosts, 1)),
               policy::kMaxSavedRetries);
  for (auto& [pool, budget] : budgets_)
    budget.SetMaxSaved(saved_retries_);
}

policy::RetryBudget& RunDesk::BudgetOf(const base::PoolName& pool) {
  const auto [it, is_new] = budgets_.try_emplace(pool);
  if (is_new)
    it->second.SetMaxSaved(saved_retries_);
  return it->second;
}

void RunDesk::Refuse(const ForwardedRequest& request,
                     OwnAnswerCode code,
                     std::optional<base::Duration> retry_after) {
  context_.Log(
      base::LogEventId::kRequestRefused, request.request_id,
      {{"reason", std::string(ToText(code))},
       {"revision",
        std::to_string(configuration_ ? configuration_->revision : 0)}});
  context_.Emit(
      AnswerCaller{request.caller, request.request_id, code, retry_after});
}

bool RunDesk::FindTeam(const ForwardedRequest& request, ForwardedRun& run) {
  if (configuration_->teams.empty())
    return true;
  if (!request.key)
    return run.pipeline->allows_anonymous;
  const ForwardedTeam* team = configuration_->FindTeamOfKey(*request.key);
  if (team == nullptr)
    return false;
  run.team = team->name;
  run.urgency = team->urgency.value_or(run.urgency);
  return true;
}

const base::PoolName& RunDesk::DrawFinalPool(
    const ForwardedPipeline& pipeline) {
  uint64_t sum = 0;
  for (const PoolShare& share : pipeline.final_pools)
    sum += share.weight;
  uint64_t draw = random_.Below(std::max<uint64_t>(sum, 1));
  for (const PoolShare& share : pipeline.final_pools) {
    if (draw < share.weight)
      return share.pool;
    draw -= share.weight;
  }
  return pipeline.final_pools.front().pool;
}

std::optional<ForwardedRun> RunDesk::Check(ForwardedRequest request,
                                           base::TimePoint now) {
  if (!configuration_) {
    Refuse(request, OwnAnswerCode::kNotReady, kNotReadyRetry);
    return std::nullopt;
  }
  if (!is_accepting_) {
    Refuse(request, OwnAnswerCode::kStopping, kStoppingRetry);
    return std::nullopt;
  }
  if (request.request_id.empty()) {
    Refuse(request, OwnAnswerCode::kBadRequest, std::nullopt);
    return std::nullopt;
  }
  ForwardedRun run;
  run.configuration = configuration_;
  run.pipeline = configuration_->FindPipeline(request.host, request.path);
  if (run.pipeline == nullptr || run.pipeline->final_pools.empty()) {
    Refuse(request, OwnAnswerCode::kUnknownPipeline, std::nullopt);
    return std::nullopt;
  }
  run.urgency = run.pipeline->urgency;
  if (!FindTeam(request, run)) {
    Refuse(request, OwnAnswerCode::kUnknownKey, std::nullopt);
    return std::nullopt;
  }
  run.arrived = now;
  run.target = now + run.pipeline->target_latency;
  base::Duration budget = request.budget.value_or(kLongestRun);
  if (run.pipeline->timeout.count() > 0)
    budget = std::min<base::Duration>(budget, run.pipeline->timeout);
  run.deadline = now + budget;
  run.begin_deadline = run.deadline;
  if (run.pipeline->first_event_limit.count() > 0)
    run.begin_deadline =
        std::min(run.deadline, now + run.pipeline->first_event_limit);
  run.final_pool = DrawFinalPool(*run.pipeline);
  run.stages = InitialStages(*run.pipeline, request);
  run.last_event = request.last_event;
  run.request = std::make_shared<const ForwardedRequest>(std::move(request));
  const EndpointChoice probable = chooser_.Choose(WishOf(run, now), now);
  if (const auto* endpoint = std::get_if<ListedEndpoint>(&probable)) {
    run.final_zone = endpoint->zone;
  } else if (const auto* limited = std::get_if<LimitedEndpoint>(&probable)) {
    run.final_zone = limited->listed.zone;
  } else if (const auto* quiet = std::get_if<EndpointsQuiet>(&probable)) {
    if (quiet->until > now + kWaitAtDoor) {
      Refuse(*run.request, OwnAnswerCode::kNoEndpoint,
             policy::SpreadOut(quiet->until - now, random_));
      return std::nullopt;
    }
  } else {
    Refuse(*run.request, OwnAnswerCode::kNoEndpoint, kNoEndpointRetry);
    return std::nullopt;
  }
  run.cell = stage_desk_.ChooseCell(CellWishOf(run), now).value_or(Cell());
  return run;
}

CellWish RunDesk::CellWishOf(const ForwardedRun& run) const {
  CellWish wish;
  for (size_t i = 0; i < run.stages.size(); ++i) {
    if (run.stages[i].phase != StagePhase::kDone)
      wish.pools.push_back(run.pipeline->stages[i].pool);
  }
  wish.reader_zone = run.final_zone;
  wish.avoided = run.cells_tried;
  return wish;
}

void RunDesk::Handle(ForwardedRequest request, base::TimePoint now) {
  const base::CallerId caller = request.caller;
  auto run = Check(std::move(request), now);
  if (!run)
    return;
  BudgetOf(run->final_pool).NoteFirstTry();
  deadlines_.emplace(run->begin_deadline, caller);
  runs_.emplace(caller, std::move(*run));
  Advance(caller, now);
}

EndpointWish RunDesk::WishOf(const ForwardedRun& run,
                             base::TimePoint now) const {
  EndpointWish wish;
  wish.pool = run.final_pool;
  wish.avoided = run.tried;
  wish.affinity = SharedPartOf(run.request->prefix);
  wish.longest_wait = LongestPermitWait(run, now);
  return wish;
}

void RunDesk::Advance(base::CallerId caller, base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  for (const size_t stage : run.ReadyStages()) {
    const base::TimePoint due = run_times_.DueTime(run, stage, now);
    if (due <= now)
      AskForStage(caller, run, stage, now);
    else
      LookAgain(caller, run, due);
  }
  if (!run.attempt && !run.permit_ask && run.AreStagesDone())
    SendFinal(caller, now);
}

void RunDesk::LookAgain(base::CallerId caller,
                        ForwardedRun& run,
                        base::TimePoint time) {
  if (run.looked_at_again && *run.looked_at_again <= time)
    return;
  if (run.looked_at_again)
    Forget(looks_, *run.looked_at_again, caller);
  run.looked_at_again = time;
  looks_.emplace(time, caller);
}

void RunDesk::HandleLooks(base::TimePoint now) {
  while (!looks_.empty() && looks_.begin()->first <= now) {
    const base::CallerId caller = looks_.begin()->second;
    looks_.erase(looks_.begin());
    runs_.at(caller).looked_at_again.reset();
    Advance(caller, now);
  }
}

void RunDesk::AskForStage(base::CallerId caller,
                          ForwardedRun& run,
                          size_t stage,
                          base::TimePoint now) {
  const ForwardedStage& declared = run.pipeline->stages[stage];
  StageState& state = run.stages[stage];
  StageJob job;
  job.request_id = run.request->request_id;
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
  if (const auto gone = run.InputsGone(stage))
    job.until_inputs_gone = *gone - now;
  job.time_after = run_times_.TimeAfter(run, stage, now);
  state.time_after = job.time_after;
  job.reader_zone = run.final_zone;
  job.crossing_bytes = run.BytesMoved(stage);
  job.progress =
      run.HasBegun() ? RequestProgress::kUnderWay : RequestProgress::kNew;
  state.phase = StagePhase::kAsked;
  state.asked = now;
  state.ask = stage_desk_.Ask(std::move(job), now);
  asks_.emplace(state.ask, std::pair(caller, stage));
}

// Each of the two may lead to more of the other.
void RunDesk::Settle(base::TimePoint now) {
  do
    SettleStages(now);
  while (SettlePermits(now));
}

void RunDesk::SettleStages(base::TimePoint now) {
  for (auto outcomes = stage_desk_.TakeOutcomes(); !outcomes.empty();
       outcomes = stage_desk_.TakeOutcomes()) {
    for (auto& [ask, outcome] : outcomes) {
      const auto node = asks_.extract(ask);
      if (node.empty())
        continue;
      const auto [caller, stage] = node.mapped();
      LogStage(runs_.at(caller), stage, outcome, now);
      if (auto* results = std::get_if<AskedResults>(&outcome)) {
        TakeResults(caller, stage, std::move(*results), now);
        continue;
      }
      const auto& failure = std::get<JobFailure>(outcome);
      if (AskElsewhere(caller, stage, failure, now))
        continue;
      runs_.at(caller).stages[stage].phase = StagePhase::kDone;
      AnswerAndEnd(caller,
                   failure.kind == JobFailureKind::kTooLate
                       ? OwnAnswerCode::kTooLate
                   : failure.kind == JobFailureKind::kNoEndpoint ||
                           failure.kind == JobFailureKind::kHostLost
                       ? OwnAnswerCode::kNoEndpoint
                       : OwnAnswerCode::kStageFailed,
                   failure.retry_after, now);
    }
  }
}

bool RunDesk::AskElsewhere(base::CallerId caller,
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
  const auto cell = stage_desk_.ChooseCell(CellWishOf(run), now);
  if (!cell)
    return false;
  run.cell = *cell;
  AskForStage(caller, run, stage, now);
  return true;
}

void RunDesk::LogStage(const ForwardedRun& run,
                       size_t stage,
                       const AskOutcome& outcome,
                       base::TimePoint now) {
  const StageState& state = run.stages[stage];
  std::vector<LogFact> facts{
      {"stage", std::to_string(stage)},
      {"pool", run.pipeline->stages[stage].pool.value},
      {"pieces", std::to_string(state.pieces)},
      {"ms", ToMilliseconds(now - state.asked)},
      {"left_ms", ToMilliseconds(run.target - state.asked)},
      {"after_ms", ToMilliseconds(state.time_after)}};
  std::visit(
      base::Overloaded{
          [&facts](const AskedResults& it) {
            facts.push_back({"outcome", "made"});
            facts.push_back({"dispatcher", it.host.value});
          },
          [&facts](const JobFailure& it) {
            facts.push_back({"outcome", std::string(ToText(it.kind))});
            facts.push_back({"retry_ms", ToMilliseconds(it.retry_after)});
          },
      },
      outcome);
  context_.Log(base::LogEventId::kStageEnded, run.request->request_id,
               std::move(facts));
}

void RunDesk::TakeResults(base::CallerId caller,
                          size_t stage,
                          AskedResults results,
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

bool RunDesk::SettlePermits(base::TimePoint now) {
  const std::vector<PermitOutcome> outcomes = permit_desk_.TakeOutcomes();
  for (const PermitOutcome& outcome : outcomes) {
    const auto node = permit_asks_.extract(outcome.ask);
    if (!node.empty())
      TakePermit(outcome, node.mapped(), now);
  }
  return !outcomes.empty();
}

void RunDesk::AskForPermit(const LimitedEndpoint& endpoint,
                           base::CallerId caller,
                           base::TimePoint now) {
  const PermitAskId ask =
      permit_desk_.Ask(endpoint.listed, endpoint.longest_wait, now);
  runs_.at(caller).permit_ask = ask;
  permit_asks_.emplace(ask, caller);
}

void RunDesk::TakePermit(const PermitOutcome& outcome,
                         base::CallerId caller,
                         base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  run.permit_ask.reset();
  const base::EndpointName& endpoint = outcome.endpoint.name;
  base::Duration wait{0};
  std::visit(base::Overloaded{
                 [&](const HeldPermit& it) {
                   wait = it.begins - now;
                   run.permit = it;
                 },
                 [&](const NoPermitBefore& it) {
                   wait = it.next - now;
                   chooser_.NoteNextPermit(endpoint, it.next);
                 },
                 [&](const KeeperUnknown& it) {
                   wait = it.retry - now;
                   chooser_.NoteNoPermits(endpoint, it.retry);
                 },
             },
             outcome.result);
  context_.Log(base::LogEventId::kPermitEnded, run.request->request_id,
               {{"endpoint", endpoint.value},
                {"keeper", outcome.keeper.value},
                {"outcome", std::string(ToText(outcome.result))},
                {"wait_ms", ToMilliseconds(wait)}});
  Advance(caller, now);
}

bool RunDesk::SendWithPermit(base::CallerId caller, base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  if (!run.permit)
    return false;
  if (now < run.permit->begins) {
    LookAgain(caller, run, run.permit->begins);
    return true;
  }
  const HeldPermit permit = *std::exchange(run.permit, std::nullopt);
  if (now > permit.lapses || !chooser_.IsOpen(permit.endpoint, now)) {
    context_.Log(
        base::LogEventId::kPermitEnded, run.request->request_id,
        {{"endpoint", permit.endpoint.name.value}, {"outcome", "not_used"}});
    return false;
  }
  SendTo(permit.endpoint, caller, now);
  return true;
}

void RunDesk::SendFinal(base::CallerId caller, base::TimePoint now) {
  if (SendWithPermit(caller, now))
    return;
  ForwardedRun& run = runs_.at(caller);
  std::visit(
      base::Overloaded{
          [&](const ListedEndpoint& it) { SendTo(it, caller, now); },
          [&](const LimitedEndpoint& it) { AskForPermit(it, caller, now); },
          [&](const EndpointsQuiet& it) {
            WaitForQuiet(caller, it.until, now);
          },
          [&](const NoEndpointServes&) {
            AnswerAndEnd(caller, NoEndpointCode(run), kNoEndpointRetry, now);
          },
      },
      chooser_.Choose(WishOf(run, now), now));
}

// What has been done for the run is worth a wait, as long as there is time for
// its answer behind it.
void RunDesk::WaitForQuiet(base::CallerId caller,
                           base::TimePoint until,
                           base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  if (until + kLeastFinalTime < run.begin_deadline) {
    LookAgain(caller, run, until);
    return;
  }
  AnswerAndEnd(caller, NoEndpointCode(run), until - now, now);
}

void RunDesk::SendTo(const ListedEndpoint& endpoint,
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
  run.attempt =
      FinalAttempt{send.attempt, endpoint.name, endpoint.address, now, {}};
  run.tried.push_back(endpoint.name);
  attempts_.emplace(send.attempt.number, caller);
  chooser_.NoteBegun(endpoint.name, now);
  context_.Log(base::LogEventId::kAttemptSent, run.request->request_id,
               {{"endpoint", endpoint.name.value},
                {"zone", endpoint.zone.value},
                {"team", run.team ? run.team->value : ""},
                {"resumed", run.has_begun_stream ? "yes" : "no"},
                {"left_ms", ToMilliseconds(send.left)}});
  context_.Emit(std::move(send));
}

std::optional<base::CallerId> RunDesk::CallerOf(
    const base::AttemptId& attempt) const {
  const auto it = attempts_.find(attempt.number);
  if (it == attempts_.end())
    return std::nullopt;
  return it->second;
}

RunDesk::AnswerMeaning RunDesk::Judge(const ForwardedRun& run,
                                      const AnswerHead& head) const {
  if (head.said_not_run)
    return AnswerMeaning::kNotRun;
  if (head.echoed_request_id != run.request->request_id || head.is_encoded)
    return AnswerMeaning::kInvalid;
  if (!head.is_sealed && IsSuccess(head.status))
    return AnswerMeaning::kInvalid;
  if (head.status >= kFirstServerError || PromisesNotRun(head.status))
    return AnswerMeaning::kFailed;
  return AnswerMeaning::kPass;
}

void RunDesk::BeginPassing(ForwardedRun& run,
                           AnswerHead head,
                           base::TimePoint now) {
  run_times_.NoteFirstByte(run, now);
  if (!run.first_byte)
    run.first_byte = now;
  // The first event tells that the endpoint has read all its inputs.
  ReleaseAll(run, now);
  if (run.has_begun_stream)
    return;
  run.has_begun_stream = true;
  context_.Emit(BeginStream{run.request->caller, std::move(head)});
}

void RunDesk::Handle(AttemptChunk event, base::TimePoint now) {
  const auto caller = CallerOf(event.attempt);
  if (!caller)
    return;
  ForwardedRun& run = runs_.at(*caller);
  if (event.head && Judge(run, *event.head) != AnswerMeaning::kPass) {
    context_.Emit(CancelAttempt{event.attempt});
    LoseAttempt(*caller, EndpointVerdict::kFailed, "not its answer", now);
    return;
  }
  if (event.head)
    BeginPassing(run, std::move(*event.head), now);
  std::string whole;
  for (StreamEvent& it : run.attempt->splitter.Add(event.bytes)) {
    whole += it.bytes;
    if (it.id)
      run.last_event = std::move(it.id);
  }
  if (!whole.empty())
    context_.Emit(StreamToCaller{*caller, std::move(whole)});
  if (run.attempt->splitter.rest_bytes() > kMaxEventBytes) {
    context_.Emit(CancelAttempt{event.attempt});
    LoseAttempt(*caller, EndpointVerdict::kFailed, "an event without end", now);
  }
}

void RunDesk::Handle(AttemptAnswer event, base::TimePoint now) {
  const auto caller = CallerOf(event.attempt);
  if (!caller)
    return;
  ForwardedRun& run = runs_.at(*caller);
  switch (Judge(run, event.head)) {
    case AnswerMeaning::kNotRun:
      LoseAttempt(*caller, EndpointVerdict::kRefused,
                  "refused with " + std::to_string(event.head.status), now);
      return;
    case AnswerMeaning::kInvalid:
      context_.Log(base::LogEventId::kConnectionsCondemned,
                   run.request->request_id,
                   {{"endpoint", run.attempt->endpoint.value}});
      context_.Emit(CondemnConnections{run.attempt->address});
      LoseAttempt(*caller, EndpointVerdict::kFailed, "not its answer", now);
      return;
    case AnswerMeaning::kFailed:
      if (!run.has_begun_stream && !PromisesNotRun(event.head.status) &&
          !MaySendAgain(run, EndpointVerdict::kFailed))
        break;
      LoseAttempt(*caller, EndpointVerdict::kFailed,
                  "answered " + std::to_string(event.head.status), now);
      return;
    case AnswerMeaning::kPass:
      break;
  }
  if (run.attempt->splitter.is_inside_event()) {
    LoseAttempt(*caller, EndpointVerdict::kFailed, "ended inside an event",
                now);
    return;
  }
  EndAttempt(run, EndpointVerdict::kAnswered, now);
  if (!run.first_byte)
    run.first_byte = now;
  std::string outcome = "answered " + std::to_string(event.head.status);
  if (run.has_begun_stream)
    context_.Emit(EndStream{*caller, StreamOutcome::kWhole});
  else
    context_.Emit(
        PassAnswer{*caller, std::move(event.head), std::move(event.body)});
  Finish(*caller, std::move(outcome), now);
}

void RunDesk::Handle(const AttemptFailure& event, base::TimePoint now) {
  const auto caller = CallerOf(event.attempt);
  if (!caller)
    return;
  LoseAttempt(*caller,
              event.kind == AttemptFailureKind::kUnreachable
                  ? EndpointVerdict::kUnreachable
                  : EndpointVerdict::kFailed,
              event.detail, now);
}

void RunDesk::EndAttempt(ForwardedRun& run,
                         EndpointVerdict verdict,
                         base::TimePoint now) {
  chooser_.NoteEnded(run.attempt->endpoint, verdict, now);
  attempts_.erase(run.attempt->id.number);
  run.attempt.reset();
}

bool RunDesk::MaySendAgain(const ForwardedRun& run, EndpointVerdict verdict) {
  const bool may_have_run = verdict == EndpointVerdict::kFailed;
  const uint32_t runs = run.runs + (may_have_run ? 1 : 0);
  const bool may_repeat =
      run.pipeline->repeatability == declare::Repeatability::kRepeatable ||
      run.pipeline->may_resume;
  if (runs > 0 && (!may_repeat || runs >= run.pipeline->max_attempts))
    return false;
  if (run.tried.size() >= run.pipeline->max_attempts + kMaxRefusals)
    return false;
  // What never arrived costs the pool nothing.
  return verdict == EndpointVerdict::kUnreachable ||
         BudgetOf(run.final_pool).HasOne();
}

void RunDesk::LoseAttempt(base::CallerId caller,
                          EndpointVerdict verdict,
                          std::string reason,
                          base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  const bool may_send_again = MaySendAgain(run, verdict);
  context_.Log(base::LogEventId::kAttemptFailed, run.request->request_id,
               {{"endpoint", run.attempt->endpoint.value},
                {"verdict", std::string(ToText(verdict))},
                {"reason", std::move(reason)},
                {"sent_again", may_send_again ? "yes" : "no"}});
  EndAttempt(run, verdict, now);
  if (verdict == EndpointVerdict::kFailed)
    ++run.runs;
  if (may_send_again) {
    if (verdict != EndpointVerdict::kUnreachable)
      BudgetOf(run.final_pool).TryTake();
    // What may have run may have used its inputs up.
    if (run.runs > 0) {
      ReleaseAll(run, now);
      run.stages = InitialStages(*run.pipeline, *run.request);
    }
    Advance(caller, now);
    return;
  }
  AnswerAndEnd(caller,
               run.may_have_run() ? OwnAnswerCode::kAttemptFailed
                                  : OwnAnswerCode::kRefusedByEndpoint,
               RetryAfterRefusal(run, now), now);
}

base::Duration RunDesk::RetryAfterRefusal(const ForwardedRun& run,
                                          base::TimePoint now) const {
  const auto open = chooser_.OpenFrom(run.final_pool);
  return std::max<base::Duration>(kRefusedRetry, open.value_or(now) - now);
}

void RunDesk::AnswerAndEnd(base::CallerId caller,
                           OwnAnswerCode code,
                           std::optional<base::Duration> retry_after,
                           base::TimePoint now) {
  ForwardedRun& run = runs_.at(caller);
  if (retry_after)
    retry_after = policy::SpreadOut(*retry_after, random_);
  if (run.has_begun_stream)
    context_.Emit(EndStream{caller, StreamOutcome::kCut});
  else
    context_.Emit(
        AnswerCaller{caller, run.request->request_id, code, retry_after});
  Finish(caller, std::string(ToText(code)), now);
}

void RunDesk::ReleaseStage(StageState& stage, base::TimePoint now) {
  if (!stage.results)
    return;
  stage_desk_.Release(*stage.results, now);
  stage.results.reset();
}

void RunDesk::ReleaseAll(ForwardedRun& run, base::TimePoint now) {
  for (StageState& stage : run.stages)
    ReleaseStage(stage, now);
}

void RunDesk::Forget(Times& times,
                     base::TimePoint time,
                     base::CallerId caller) {
  const auto [begin, end] = times.equal_range(time);
  const auto it = std::find_if(
      begin, end, [caller](const auto& it) { return it.second == caller; });
  if (it != end)
    times.erase(it);
}

void RunDesk::Finish(base::CallerId caller,
                     std::string outcome,
                     base::TimePoint now) {
  const auto node = runs_.extract(caller);
  if (node.empty())
    return;
  ForwardedRun& run = node.mapped();
  for (const StageState& stage : run.stages) {
    if (stage.phase != StagePhase::kAsked)
      continue;
    asks_.erase(stage.ask);
    stage_desk_.Withdraw(stage.ask);
  }
  ReleaseAll(run, now);
  if (run.permit_ask) {
    permit_asks_.erase(*run.permit_ask);
    permit_desk_.Withdraw(*run.permit_ask);
  }
  if (run.attempt) {
    context_.Emit(CancelAttempt{run.attempt->id});
    EndAttempt(run, EndpointVerdict::kCancelled, now);
  }
  Forget(deadlines_, run.begin_deadline, caller);
  Forget(deadlines_, run.deadline, caller);
  if (run.looked_at_again)
    Forget(looks_, *run.looked_at_again, caller);
  context_.Log(
      base::LogEventId::kRequestEnded, run.request->request_id,
      {{"outcome", std::move(outcome)},
       {"pipeline", run.pipeline->name.value},
       {"urgency", std::to_string(static_cast<uint32_t>(run.urgency))},
       {"revision", std::to_string(run.configuration->revision)},
       {"ms", ToMilliseconds(now - run.arrived)},
       {"first_ms",
        run.first_byte ? ToMilliseconds(*run.first_byte - run.arrived) : ""},
       {"target_ms", ToMilliseconds(run.target - run.arrived)},
       {"deadline_ms", ToMilliseconds(run.deadline - run.arrived)},
       {"endpoint", run.tried.empty() ? "" : run.tried.back().value}});
}

void RunDesk::Handle(const CallerLeft& event, base::TimePoint now) {
  Finish(event.caller, "caller_left", now);
}

void RunDesk::HandleTimer(base::TimePoint now) {
  HandleLooks(now);
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const base::CallerId caller = deadlines_.begin()->second;
    const ForwardedRun& run = runs_.at(caller);
    // It has begun in time, and now has the time for its end.
    if (run.has_begun_stream && now < run.deadline) {
      deadlines_.erase(deadlines_.begin());
      deadlines_.emplace(run.deadline, caller);
      continue;
    }
    AnswerAndEnd(
        caller,
        run.may_have_run() ? OwnAnswerCode::kTimeout : OwnAnswerCode::kTooLate,
        kRefusedRetry, now);
  }
}

void RunDesk::EndAll(base::TimePoint now) {
  while (!runs_.empty()) {
    const auto& [caller, run] = *runs_.begin();
    AnswerAndEnd(caller,
                 run.may_have_run() ? OwnAnswerCode::kAttemptFailed
                                    : OwnAnswerCode::kStopping,
                 kStoppingRetry, now);
  }
}

std::optional<base::TimePoint> RunDesk::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const Times* times : {&deadlines_, &looks_}) {
    if (!times->empty() && (!next || times->begin()->first < *next))
      next = times->begin()->first;
  }
  return next;
}

}  // namespace bilberry::forward
