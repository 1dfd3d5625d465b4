#include "LibForward/run_permits.h"

#include <string>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

void RunPermits::Request(const RateLimitedEndpoint& endpoint,
                         base::CallerId caller,
                         ForwardedRun& run,
                         base::TimePoint now) {
  const PermitRequestId id =
      permit_coordinator_.Request(endpoint.listed, endpoint.longest_wait, now);
  run.permit_request = id;
  callers_.emplace(id, caller);
}

void RunPermits::Withdraw(const ForwardedRun& run) {
  if (!run.permit_request)
    return;
  callers_.erase(*run.permit_request);
  permit_coordinator_.Withdraw(*run.permit_request);
}

std::optional<base::CallerId> RunPermits::TakeCaller(PermitRequestId id) {
  const auto node = callers_.extract(id);
  if (node.empty())
    return std::nullopt;
  return node.mapped();
}

void RunPermits::Note(const PermitOutcome& outcome,
                      ForwardedRun& run,
                      base::TimePoint now) {
  run.permit_request.reset();
  const base::EndpointName& endpoint = outcome.endpoint.name;
  base::Duration wait{0};
  std::visit(base::Overloaded{
                 [&](const HeldPermit& it) {
                   wait = it.begins - now;
                   run.permit = it;
                 },
                 [&](const NoPermitInTime& it) {
                   wait = it.next - now;
                   chooser_.NoteNextPermit(endpoint, it.next);
                 },
                 [&](const LimitOwnerUnavailable& it) {
                   wait = it.retry - now;
                   chooser_.NoteNoPermits(endpoint, it.retry);
                 },
             },
             outcome.result);
  context_.Log(base::LogEventId::kPermitEnded, run.request->request_id,
               {{"endpoint", endpoint.value},
                {"keeper", outcome.limit_owner.value},
                {"outcome", std::string(ToText(outcome.result))},
                {"wait_ms", ToMilliseconds(wait)}});
}

std::optional<ListedEndpoint> RunPermits::Use(ForwardedRun& run,
                                              base::TimePoint now) {
  if (!run.permit || now < run.permit->begins)
    return std::nullopt;
  HeldPermit permit = *std::exchange(run.permit, std::nullopt);
  if (now > permit.expires || !run.FitsStream(permit.endpoint) ||
      !chooser_.IsAvailable(permit.endpoint, now)) {
    context_.Log(
        base::LogEventId::kPermitEnded, run.request->request_id,
        {{"endpoint", permit.endpoint.name.value}, {"outcome", "not_used"}});
    return std::nullopt;
  }
  return std::move(permit.endpoint);
}

}  // namespace bilberry::forward
