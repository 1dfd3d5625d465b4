#include "LibForward/run_placements.h"

#include <algorithm>
#include <string>
#include <utility>

#include "LibForward/selection_criteria.h"

namespace bilberry::forward {

namespace {

PlacementRequest RequestOf(const ForwardedRun& run,
                           base::TimePoint stages_end,
                           base::TimePoint now) {
  PlacementRequest request;
  request.domain = {run.final_pool, run.final_zone};
  request.run.prefix = run.request->prefix;
  request.run.max_output_tokens = run.request->max_output_tokens;
  request.run.until_sent = stages_end - now;
  request.run.until_target = run.target - now;
  request.run.until_deadline = run.deadline - now;
  request.run.max_pause = run.pipeline->max_pause;
  request.avoided = run.tried;
  return request;
}

}  // namespace

// With slots for at most two thirds of the hosts, a host's share of an endpoint
// is less than one request, so that its own count of requests in flight says
// nothing about the endpoint's load.
bool RunPlacements::Applies(const ForwardedRun& run) const {
  const ForwardedPipeline& pipeline = *run.pipeline;
  if (!context_.options().shares_calls || !pipeline.has_prefixes ||
      pipeline.delivery != declare::Delivery::kStreamed)
    return false;
  const ForwardedPool* pool = run.configuration->FindPool(run.final_pool);
  return pool != nullptr && pool->slots > 0 &&
         pool->slots >= context_.options().min_placement_slots &&
         uint64_t{3} * pool->slots <=
             uint64_t{2} * placement_coordinator_.host_count();
}

std::optional<base::ZoneName> RunPlacements::ChooseZone(
    const ForwardedRun& run,
    base::TimePoint now) const {
  if (!Applies(run))
    return std::nullopt;
  const std::string_view affinity = EndpointCriteriaOf(run, now).affinity;
  // Requests that share nothing are spread over the zones.
  const std::string_view session =
      affinity.empty() ? run.request->request_id : affinity;
  return zones_.Choose(run.final_pool, session,
                       chooser_.PlacementZonesOf(run.final_pool, now), now);
}

bool RunPlacements::IsSuspect(const ForwardedRun& run) const {
  return context_.conditions().crashes.CrashCountOf(run.digest) > 0;
}

// The owner doesn't know at which version a stream has to go on.
bool RunPlacements::IsRequestDue(const ForwardedRun& run) {
  return run.uses_placement && !run.stream_version && !run.awaits_origin &&
         !run.has_asked_placement && !run.attempt && run.AreStagesRequested();
}

void RunPlacements::Request(base::CallerId caller,
                            ForwardedRun& run,
                            base::TimePoint stages_end,
                            base::TimePoint now) {
  run.has_asked_placement = true;
  if (IsSuspect(run)) {
    Log(run, {}, "suspect");
    return;
  }
  const PlacementRequestId id =
      placement_coordinator_.Request(RequestOf(run, stages_end, now), now);
  run.placement_request = id;
  callers_.emplace(id, caller);
}

void RunPlacements::Withdraw(ForwardedRun& run, base::TimePoint now) {
  if (run.placement_request) {
    callers_.erase(*run.placement_request);
    placement_coordinator_.Withdraw(*run.placement_request, now);
    run.placement_request.reset();
    Log(run, {}, "withdrawn");
  }
  if (run.placement) {
    placement_coordinator_.Withdraw(run.placement->id, now);
    Log(run, *run.placement, "withdrawn");
    run.placement.reset();
  }
}

std::optional<base::CallerId> RunPlacements::TakeCaller(PlacementRequestId id) {
  const auto node = callers_.extract(id);
  if (node.empty())
    return std::nullopt;
  return node.mapped();
}

void RunPlacements::Note(const PlacementOutcome& outcome,
                         ForwardedRun& run,
                         base::TimePoint now) {
  run.placement_request.reset();
  if (outcome.next_wait)
    zones_.NoteWait(outcome.domain, *outcome.next_wait, now);
  HeldPlacement placement{outcome.id, outcome.owner, {}, outcome.asked_for};
  if (const auto* failure = std::get_if<PlacementFailure>(&outcome.result)) {
    Log(run, placement, ToText(*failure));
    return;
  }
  placement.placed = std::get<Placed>(outcome.result);
  run.placement = std::move(placement);
}

std::optional<PlacedEndpoint> RunPlacements::Use(ForwardedRun& run,
                                                 base::TimePoint now) {
  if (!run.placement)
    return std::nullopt;
  const HeldPlacement placement = *std::exchange(run.placement, std::nullopt);
  const bool is_suspect = IsSuspect(run);
  const bool was_tried =
      std::ranges::find(run.tried, placement.placed.endpoint) !=
      run.tried.end();
  auto endpoint = chooser_.FindPlaced(placement.placed, now);
  const bool is_usable = endpoint && endpoint->pool == run.final_pool &&
                         run.FitsStream(*endpoint) && !is_suspect && !was_tried;
  Log(run, placement,
      is_suspect   ? "suspect"
      : !is_usable ? "endpoint"
                   : "placed");
  if (!is_usable) {
    placement_coordinator_.Withdraw(placement.id, now);
    return std::nullopt;
  }
  return PlacedEndpoint{*std::move(endpoint), placement.id};
}

void RunPlacements::NoteFirstEvent(const ForwardedRun& run,
                                   base::TimePoint now) {
  if (run.attempt->placement)
    placement_coordinator_.Report(*run.attempt->placement,
                                  RunBegun{now - run.attempt->sent}, now);
}

void RunPlacements::NoteAttemptEnded(ForwardedRun& run,
                                     AttemptOutcome outcome,
                                     base::TimePoint now) {
  run.has_asked_placement = false;
  if (!run.attempt->placement)
    return;
  const PlacementRequestId id = *run.attempt->placement;
  if (outcome == AttemptOutcome::kAnswered)
    placement_coordinator_.Report(id, RunEnded{run.attempt->pauses.longest()},
                                  now);
  else
    placement_coordinator_.Withdraw(id, now);
}

void RunPlacements::Log(const ForwardedRun& run,
                        const HeldPlacement& placement,
                        std::string_view outcome) {
  context_.Log(base::LogEventId::kPlacementEnded, run.request->request_id,
               {{"owner", placement.owner.value},
                {"endpoint", placement.placed.endpoint.value},
                {"outcome", std::string(outcome)},
                {"expected_ms", ToMilliseconds(placement.placed.first_event)},
                {"wait_ms", ToMilliseconds(placement.asked_for)}});
}

}  // namespace bilberry::forward
