#include "LibForward/admission_control.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "LibForward/prompt_parts.h"
#include "LibForward/selection_criteria.h"
#include "LibPolicy/retry_jitter.h"

namespace bilberry::forward {

namespace {

// Retry-After of a host that has no configuration yet.
constexpr std::chrono::milliseconds kNotReadyRetry{500};
// A request is admitted while all endpoints back off or have no permit left if
// one of them becomes available within this time.
constexpr std::chrono::milliseconds kMaxAdmissionWait{50};
// Time limit of requests without a deadline.
constexpr std::chrono::seconds kDefaultTimeLimit{60};

}  // namespace

void AdmissionControl::SetConfiguration(
    std::shared_ptr<const ForwardConfiguration> configuration) {
  configuration_ = std::move(configuration);
  routes_ = RouteIndex(configuration_);
}

void AdmissionControl::Refuse(const ForwardedRequest& request,
                              const ForwardedRun& run,
                              Refusal refusal) {
  context_.Log(
      base::LogEventId::kRequestRefused, request.request_id,
      {{"reason", std::string(ToText(refusal.code))},
       {"team", run.team ? run.team->value : ""},
       {"pipeline", run.pipeline == nullptr ? "" : run.pipeline->name.value},
       {"digest", std::move(refusal.digest)},
       {"part", std::move(refusal.part)},
       {"revision",
        std::to_string(configuration_ ? configuration_->revision : 0)}});
  context_.Emit(AnswerCaller{request.caller, request.request_id, refusal.code,
                             refusal.retry_after});
}

bool AdmissionControl::Authenticate(const ForwardedRequest& request,
                                    ForwardedRun& run) {
  if (configuration_->teams.empty())
    return true;
  if (!request.key)
    return run.pipeline->allows_anonymous;
  const ForwardedTeam* team = routes_.FindTeamOfKey(*request.key);
  if (team == nullptr)
    return false;
  run.team = team->name;
  run.urgency = team->urgency.value_or(run.urgency);
  return true;
}

const base::PoolName& AdmissionControl::DrawFinalPool(
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

void AdmissionControl::FindOrigin(const ForwardedRequest& request,
                                  ForwardedRun& run) const {
  if (!request.last_event || !run.pipeline->may_resume)
    return;
  if (const auto origin = stream_versions_.Find(request.resumed_stream))
    run.GoOnAt(origin->pool, origin->software_version);
  else
    run.awaits_origin = true;
}

std::optional<ForwardedRun> AdmissionControl::Admit(ForwardedRequest request,
                                                    base::TimePoint now) {
  ForwardedRun run;
  if (!configuration_) {
    Refuse(request, run, {LocalAnswerCode::kNotReady, kNotReadyRetry, {}, {}});
    return std::nullopt;
  }
  if (!is_accepting_) {
    Refuse(request, run, {LocalAnswerCode::kStopping, kStoppingRetry, {}, {}});
    return std::nullopt;
  }
  const bool asks_too_much = std::ranges::any_of(
      request.piece_counts, [](uint32_t it) { return it > kMaxPieces; });
  if (request.request_id.empty() || asks_too_much) {
    Refuse(request, run, {LocalAnswerCode::kBadRequest, {}, {}, {}});
    return std::nullopt;
  }
  run.configuration = configuration_;
  run.pipeline = routes_.FindPipeline(request.host, request.path);
  if (run.pipeline == nullptr || run.pipeline->final_pools.empty()) {
    Refuse(request, run, {LocalAnswerCode::kUnknownPipeline, {}, {}, {}});
    return std::nullopt;
  }
  run.urgency = run.pipeline->urgency;
  if (!Authenticate(request, run)) {
    Refuse(request, run, {LocalAnswerCode::kUnknownKey, {}, {}, {}});
    return std::nullopt;
  }
  run.digest = DigestOf(run.team, request);
  if (context_.conditions().crashes.IsQuarantined(run.digest, now)) {
    Refuse(request, run,
           {LocalAnswerCode::kQuarantined,
            policy::kQuarantinePeriod,
            run.digest,
            {}});
    return std::nullopt;
  }
  run.arrived = now;
  run.target = now + run.pipeline->target_latency;
  base::Duration budget = request.budget.value_or(kDefaultTimeLimit);
  if (run.pipeline->timeout.count() > 0)
    budget = std::min<base::Duration>(budget, run.pipeline->timeout);
  run.deadline = now + budget;
  run.begin_deadline = run.deadline;
  if (run.pipeline->first_event_timeout.count() > 0)
    run.begin_deadline =
        std::min(run.deadline, now + run.pipeline->first_event_timeout);
  run.final_pool = DrawFinalPool(*run.pipeline);
  FindOrigin(request, run);
  run.parts = PartSuspectsOf(run.final_pool, request.prefix);
  if (const auto refused =
          context_.conditions().crashes.FindRefusedPart(run.parts, now)) {
    Refuse(request, run,
           {LocalAnswerCode::kQuarantined, refused->until - now, run.digest,
            refused->name});
    return std::nullopt;
  }
  run.stages = InitialStages(*run.pipeline, request);
  run.last_event = request.last_event;
  run.request = std::make_shared<const ForwardedRequest>(std::move(request));
  if (context_.conditions().reach.IsCutFrom(run.final_pool)) {
    if (run.request->is_carried) {
      Refuse(*run.request, run, {LocalAnswerCode::kCutOff, {}, {}, {}});
      return std::nullopt;
    }
    run.uses_carrier = carriers_.HasAny(now);
    if (run.uses_carrier)
      return run;
  }
  const EndpointChoice probable =
      chooser_.Choose(EndpointCriteriaOf(run, now), now);
  if (const auto* endpoint = std::get_if<ListedEndpoint>(&probable)) {
    run.final_zone = endpoint->zone;
  } else if (const auto* limited =
                 std::get_if<RateLimitedEndpoint>(&probable)) {
    run.final_zone = limited->listed.zone;
  } else if (const auto* unavailable =
                 std::get_if<NoEndpointUntil>(&probable)) {
    if (unavailable->until > now + kMaxAdmissionWait) {
      Refuse(*run.request, run,
             {LocalAnswerCode::kNoEndpoint,
              policy::AddJitter(unavailable->until - now, random_),
              {},
              {}});
      return std::nullopt;
    }
  } else {
    Refuse(*run.request, run,
           {LocalAnswerCode::kNoEndpoint, kNoEndpointRetry, {}, {}});
    return std::nullopt;
  }
  if (const auto zone = placements_.ChooseZone(run, now)) {
    run.uses_placement = true;
    run.final_zone = *zone;
  }
  run.cell =
      stage_job_router_.ChooseCell(CellCriteriaOf(run), now).value_or(Cell());
  return run;
}

}  // namespace bilberry::forward
