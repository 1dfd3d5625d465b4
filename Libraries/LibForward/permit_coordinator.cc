#include "LibForward/permit_coordinator.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// A new limit owner waits this long before its first permit: by then the
// permits of the previous owner are over, and the other hosts know the new one.
constexpr std::chrono::milliseconds kTakeoverDelay{1000};
// Maximum permit requests in flight for one endpoint. Further requests choose
// another endpoint or retry later, instead of waiting for the same limit owner.
constexpr size_t kMaxPendingRequests = 4;
constexpr std::chrono::milliseconds kBusyRetry{20};
// Retry delay within which the hosts' lists usually converge.
constexpr std::chrono::milliseconds kNotLimitOwnerRetry{200};
constexpr std::chrono::milliseconds kFailedRetry{100};

}  // namespace

std::string_view ToText(const PermitResult& result) {
  return std::visit(
      base::Overloaded{
          [](const HeldPermit&) { return "granted"; },
          [](const NoPermitInTime&) { return "none_in_time"; },
          [](const LimitOwnerUnavailable&) { return "keeper_unknown"; },
      },
      result);
}

PermitRequestId PermitCoordinator::Request(const ListedEndpoint& endpoint,
                                           base::Duration longest_wait,
                                           base::TimePoint now) {
  const EndpointLimits& limits = context_.conditions().limits;
  PermitRequest request;
  request.endpoint = endpoint.name;
  request.incarnation = endpoint.incarnation;
  request.zone = endpoint.zone;
  request.longest_wait = longest_wait;
  request.limit = limits.ReportOf(endpoint.name, endpoint.incarnation, now)
                      .value_or(LimitReport());
  request.cold = context_.conditions().cold_endpoints.ReportOf(
      endpoint.name, endpoint.incarnation, now);
  const PermitRequestId id{++last_request_};
  const PeerHost& limit_owner =
      peers_.assignment().LimitOwnerOf({endpoint.name, endpoint.zone});
  const size_t pending_count = PendingRequestsOf(endpoint.name);
  const PendingRequest& pending =
      pending_.emplace(id, PendingRequest{endpoint, limit_owner.name, now})
          .first->second;
  if (peers_.assignment().IsOwn(limit_owner)) {
    Finish(id, ResultOf(pending, Grant(request, now), now));
  } else if (pending_count >= kMaxPendingRequests) {
    Finish(id, LimitOwnerUnavailable{now + kBusyRetry});
  } else {
    peers_.NoteUse(limit_owner.name, now);
    context_.Emit(RequestPermit{id, limit_owner.address, std::move(request)});
  }
  return id;
}

size_t PermitCoordinator::PendingRequestsOf(
    const base::EndpointName& endpoint) const {
  return static_cast<size_t>(
      std::ranges::count_if(pending_, [&endpoint](const auto& it) {
        return it.second.endpoint.name == endpoint;
      }));
}

std::vector<PermitOutcome> PermitCoordinator::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

PermitDecision PermitCoordinator::Grant(const PermitRequest& request,
                                        base::TimePoint now) {
  if (!IsLimitOwnerOf({request.endpoint, request.zone}))
    return NotLimitOwner{};
  const auto per_second =
      context_.conditions().RateOf(request.endpoint, request.incarnation);
  if (!per_second)
    return PermitGranted{};
  if (!issuer_.Owns(request.endpoint))
    context_.Log(base::LogEventId::kLimitKept, "",
                 {{"endpoint", request.endpoint.value},
                  {"per_second", ToText(RequestLimit{per_second})}});
  return issuer_.Grant(
      {request.endpoint, request.incarnation, *per_second, request.longest_wait,
       peers_.changed_at() + kTakeoverDelay},
      now);
}

void PermitCoordinator::SetEndpoints(
    std::span<const ListedEndpoint> endpoints) {
  zones_.clear();
  for (const ListedEndpoint& it : endpoints)
    zones_.emplace(it.name, it.zone);
}

std::optional<EndpointLimitKey> PermitCoordinator::Find(
    const base::EndpointName& endpoint) const {
  const auto it = zones_.find(endpoint);
  if (it == zones_.end())
    return std::nullopt;
  return EndpointLimitKey{endpoint, it->second};
}

bool PermitCoordinator::IsLimitOwnerOf(const EndpointLimitKey& endpoint) const {
  return peers_.assignment().IsOwn(peers_.assignment().LimitOwnerOf(endpoint));
}

void PermitCoordinator::NoteLimitChanged(const base::EndpointName& endpoint,
                                         base::Incarnation incarnation,
                                         base::TimePoint now) {
  const auto key = Find(endpoint);
  const auto limit =
      context_.conditions().limits.ReportOf(endpoint, incarnation, now);
  if (!key || !limit)
    return;
  MonitorLimitOwnerOf(*key);
  const EndpointLimitReport report{endpoint, incarnation, *limit};
  if (IsLimitOwnerOf(*key))
    BroadcastLimit(report);
  else
    context_.Emit(SendLimitsToPeer{
        peers_.assignment().LimitOwnerOf(*key).address, {report}});
}

void PermitCoordinator::BroadcastLimit(const EndpointLimitReport& report) {
  for (const PeerHost& it : peers_.store_sync_sources())
    context_.Emit(SendLimitsToPeer{it.address, {report}});
}

void PermitCoordinator::ApplyReports(
    const std::vector<EndpointLimitReport>& limits,
    base::TimePoint now) {
  for (const EndpointLimitReport& it : limits)
    ApplyReport(it, now);
}

void PermitCoordinator::ApplyReport(const EndpointLimitReport& report,
                                    base::TimePoint now) {
  if (!context_.conditions().limits.NoteByPeer(
          report.endpoint, report.incarnation, report.report, now))
    return;
  context_.LogLimit(report.endpoint, report.incarnation, report.report.limit,
                    "peer");
  const auto key = Find(report.endpoint);
  if (!key)
    return;
  MonitorLimitOwnerOf(*key);
  if (IsLimitOwnerOf(*key))
    BroadcastLimit(report);
}

void PermitCoordinator::Handle(const PeerPermitRequested& event,
                               base::TimePoint now) {
  const PermitRequest& request = event.request;
  ApplyReport({request.endpoint, request.incarnation, request.limit}, now);
  if (request.cold)
    context_.conditions().cold_endpoints.NoteByPeer(
        request.endpoint, request.incarnation, *request.cold, now);
  const PermitDecision decision = Grant(request, now);
  context_.Emit(AnswerPermit{
      event.exchange,
      {decision, context_.conditions().limits.ReportOf(
                     request.endpoint, request.incarnation, now)}});
}

PermitResult PermitCoordinator::ResultOf(const PendingRequest& request,
                                         const PermitDecision& decision,
                                         base::TimePoint now) {
  return std::visit(
      base::Overloaded{
          [&](const PermitGranted& it) -> PermitResult {
            return HeldPermit{
                request.endpoint, now + it.begins_in,
                request.requested_at + it.begins_in + kPermitLifetime};
          },
          [&](const PermitRefused& it) -> PermitResult {
            return NoPermitInTime{now + it.next_in};
          },
          [&](const NotLimitOwner&) -> PermitResult {
            return LimitOwnerUnavailable{now + kNotLimitOwnerRetry};
          },
      },
      decision);
}

void PermitCoordinator::Finish(PermitRequestId id, const PermitResult& result) {
  const auto node = pending_.extract(id);
  if (node.empty())
    return;
  const PendingRequest& request = node.mapped();
  outcomes_.push_back({id, request.endpoint, request.limit_owner, result});
}

void PermitCoordinator::Handle(const PermitAnswered& event,
                               base::TimePoint now) {
  const auto it = pending_.find(event.id);
  if (it == pending_.end())
    return;
  const PendingRequest& request = it->second;
  peers_.NoteHeard(request.limit_owner, now);
  if (event.answer.limit)
    ApplyReport({request.endpoint.name, request.endpoint.incarnation,
                 *event.answer.limit},
                now);
  Finish(event.id, ResultOf(request, event.answer.decision, now));
}

void PermitCoordinator::Handle(const PermitRequestFailed& event,
                               base::TimePoint now) {
  Finish(event.id, LimitOwnerUnavailable{now + kFailedRetry});
}

void PermitCoordinator::MonitorLimitOwnerOf(const EndpointLimitKey& endpoint) {
  const HostAssignment& assignment = peers_.assignment();
  const PeerHost& preferred = assignment.PreferredLimitOwnerOf(endpoint);
  if (assignment.IsOwn(preferred) ||
      !assignment.IsOwn(assignment.LimitOwnerSuccessorOf(endpoint)))
    return;
  if (monitored_.insert(preferred.name).second)
    peers_.MonitorLimitOwners(monitored_);
}

void PermitCoordinator::UpdateLimitOwners() {
  const auto handed_over = issuer_.Drop([this](const base::EndpointName& name) {
    const auto key = Find(name);
    // A cold endpoint may become known by a peer's permit request before it is
    // listed here.
    return key ? !IsLimitOwnerOf(*key)
               : !context_.conditions().cold_endpoints.Knows(name);
  });
  for (const base::EndpointName& it : handed_over)
    context_.Log(base::LogEventId::kLimitHandedOver, "",
                 {{"endpoint", it.value}});
  monitored_.clear();
  for (const auto& [name, zone] : zones_) {
    if (context_.conditions().KnowsRateOf(name))
      MonitorLimitOwnerOf({name, zone});
  }
  peers_.MonitorLimitOwners(monitored_);
}

}  // namespace bilberry::forward
