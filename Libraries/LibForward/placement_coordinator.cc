#include "LibForward/placement_coordinator.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// After a failed exchange, so that only the first requests wait for an owner
// that doesn't answer. Failure detection replaces it later.
constexpr std::chrono::milliseconds kUnreachablePeriod{200};

base::Duration Less(base::Duration left, base::Duration elapsed) {
  return std::max(left - elapsed, base::Duration(0));
}

}  // namespace

std::string_view ToText(PlacementFailure failure) {
  switch (failure) {
    case PlacementFailure::kTimeout:
      return "timeout";
    case PlacementFailure::kUnreachable:
      return "unreachable";
    case PlacementFailure::kNotOwner:
      return "not_owner";
    case PlacementFailure::kNone:
      return "none";
  }
  return "none";
}

PlacedRunId PlacementCoordinator::RunIdOf(PlacementRequestId id) const {
  return {context_.options().incarnation, static_cast<uint64_t>(id)};
}

bool PlacementCoordinator::IsUnreachable(const base::HostName& owner,
                                         base::TimePoint now) const {
  const auto it = unreachable_until_.find(owner);
  return it != unreachable_until_.end() && now < it->second;
}

void PlacementCoordinator::NoteUnreachable(const base::HostName& owner,
                                           base::TimePoint now) {
  unreachable_until_[owner] = now + kUnreachablePeriod;
}

PlacementRequestId PlacementCoordinator::Request(PlacementRequest request,
                                                 base::TimePoint now) {
  const PlacementRequestId id{++last_request_};
  request.run.id = RunIdOf(id);
  const PeerHost& owner = OwnerOf(request.domain);
  owners_[request.domain] = owner.name;
  if (IsUnreachable(owner.name, now)) {
    outcomes_.push_back({id,
                         request.domain,
                         owner.name,
                         PlacementFailure::kUnreachable,
                         {},
                         std::nullopt});
    return id;
  }
  exchanges_.emplace(id,
                     Exchange{request.domain, request.run, owner.name, now});
  if (peers_.assignment().IsOwn(owner)) {
    NoteAnswer(id,
               schedulers_.Knows(request.domain)
                   ? schedulers_.Place(request, now)
                   : PlacementAnswer{NoPlacement{}, base::Duration(0)},
               now);
  } else {
    peers_.NoteUse(owner.name, now);
    context_.Emit(RequestPlacement{id, owner.address, std::move(request)});
  }
  return id;
}

std::vector<PlacementOutcome> PlacementCoordinator::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

void PlacementCoordinator::NoteAnswer(PlacementRequestId id,
                                      const PlacementAnswer& answer,
                                      base::TimePoint now) {
  const auto node = exchanges_.extract(id);
  const Exchange& exchange = node.mapped();
  const auto* placed = std::get_if<Placed>(&answer.decision);
  if (!exchange.is_awaited) {
    if (placed != nullptr)
      DeliverMoved(exchange, now);
    return;
  }
  if (placed != nullptr)
    Hold(id, exchange, *placed, now);
  PlacementOutcome outcome{id,
                           exchange.domain,
                           exchange.owner,
                           PlacementFailure::kNone,
                           now - exchange.requested_at,
                           answer.wait};
  std::visit(base::Overloaded{
                 [&](const Placed& it) { outcome.result = it; },
                 [&](const NoPlacement&) {},
                 [&](const NotPlacementOwner&) {
                   outcome.result = PlacementFailure::kNotOwner;
                   outcome.next_wait.reset();
                 },
             },
             answer.decision);
  outcomes_.push_back(std::move(outcome));
}

void PlacementCoordinator::Hold(PlacementRequestId id,
                                const Exchange& exchange,
                                const Placed& placed,
                                base::TimePoint now) {
  const PlacedRun& run =
      placed_runs_
          .emplace(id, PlacedRun{exchange.domain, exchange.run,
                                 exchange.requested_at, placed.endpoint})
          .first->second;
  // The owner may have been replaced since the request was sent.
  if (OwnerOf(exchange.domain).name != exchange.owner)
    DeliverHeld(run, now);
}

void PlacementCoordinator::Fail(PlacementRequestId id,
                                Exchange& exchange,
                                PlacementFailure failure,
                                base::TimePoint now) {
  exchange.is_awaited = false;
  NoteUnreachable(exchange.owner, now);
  outcomes_.push_back({id, exchange.domain, exchange.owner, failure,
                       now - exchange.requested_at, std::nullopt});
}

void PlacementCoordinator::Handle(const PlacementAnswered& event,
                                  base::TimePoint now) {
  const auto it = exchanges_.find(event.id);
  if (it == exchanges_.end())
    return;
  peers_.NoteHeard(it->second.owner, now);
  if (it->second.is_awaited)
    unreachable_until_.erase(it->second.owner);
  NoteAnswer(event.id, event.answer, now);
}

// The owner may have placed the run although its answer was lost.
void PlacementCoordinator::Handle(const PlacementRequestFailed& event,
                                  base::TimePoint now) {
  const auto it = exchanges_.find(event.id);
  if (it == exchanges_.end())
    return;
  Exchange& exchange = it->second;
  if (exchange.is_awaited)
    Fail(event.id, exchange,
         now - exchange.requested_at < kPlacementTimeout
             ? PlacementFailure::kUnreachable
             : PlacementFailure::kTimeout,
         now);
  else
    NoteUnreachable(exchange.owner, now);
  DeliverMoved(exchange, now);
  exchanges_.erase(it);
}

void PlacementCoordinator::Withdraw(PlacementRequestId id,
                                    base::TimePoint now) {
  const auto it = exchanges_.find(id);
  if (it != exchanges_.end())
    it->second.is_awaited = false;
  else
    Report(id, RunMoved{}, now);
}

void PlacementCoordinator::Report(PlacementRequestId id,
                                  const RunProgress& progress,
                                  base::TimePoint now) {
  const auto it = placed_runs_.find(id);
  if (it == placed_runs_.end())
    return;
  Deliver(it->second.domain, {RunIdOf(id), progress}, now);
  if (std::holds_alternative<RunBegun>(progress))
    it->second.has_begun = true;
  else
    placed_runs_.erase(it);
}

void PlacementCoordinator::Deliver(const PlacementDomain& domain,
                                   RunReport report,
                                   base::TimePoint now) {
  const PeerHost& owner = OwnerOf(domain);
  if (peers_.assignment().IsOwn(owner))
    schedulers_.Apply({domain, {std::move(report)}}, now);
  else
    reports_.Add(owner.name, domain, std::move(report));
}

void PlacementCoordinator::DeliverMoved(const Exchange& exchange,
                                        base::TimePoint now) {
  // A later owner has not been told of the run.
  if (OwnerOf(exchange.domain).name == exchange.owner)
    Deliver(exchange.domain, {exchange.run.id, RunMoved{}}, now);
}

void PlacementCoordinator::DeliverHeld(const PlacedRun& placed,
                                       base::TimePoint now) {
  RunHeld held{placed.run, placed.endpoint, placed.has_begun};
  const base::Duration elapsed = now - placed.requested_at;
  held.run.until_sent = Less(held.run.until_sent, elapsed);
  held.run.until_target -= elapsed;
  held.run.until_deadline = Less(held.run.until_deadline, elapsed);
  Deliver(placed.domain, {placed.run.id, std::move(held)}, now);
}

void PlacementCoordinator::Handle(const PeerPlacementRequested& event,
                                  base::TimePoint now) {
  const PlacementRequest& request = event.request;
  PlacementAnswer answer{NoPlacement{}, base::Duration(0)};
  // An unknown domain is not looked up, as each look-up is cached.
  if (schedulers_.Knows(request.domain)) {
    if (peers_.assignment().IsOwn(OwnerOf(request.domain)))
      answer = schedulers_.Place(request, now);
    else
      answer.decision = NotPlacementOwner{};
  }
  context_.Emit(AnswerPlacement{event.exchange, std::move(answer)});
}

void PlacementCoordinator::Handle(const PeerPlacementReported& event,
                                  base::TimePoint now) {
  const PlacementDomain& domain = event.report.domain;
  if (schedulers_.Knows(domain) && peers_.assignment().IsOwn(OwnerOf(domain)))
    schedulers_.Apply(event.report, now);
}

void PlacementCoordinator::UpdateOwners(base::TimePoint now) {
  schedulers_.KeepOnly([this](const PlacementDomain& domain) {
    return peers_.assignment().IsOwn(OwnerOf(domain));
  });
  for (auto& [domain, known_owner] : owners_) {
    const base::HostName& owner = OwnerOf(domain).name;
    if (owner == known_owner)
      continue;
    known_owner = owner;
    // The new owner knows none of the runs that these reports are about.
    reports_.Drop(domain);
    for (const auto& [id, run] : placed_runs_) {
      if (run.domain == domain)
        DeliverHeld(run, now);
    }
  }
}

void PlacementCoordinator::HandleTimer(base::TimePoint now) {
  for (auto& [id, exchange] : exchanges_) {
    if (now < exchange.requested_at + kPlacementTimeout)
      break;
    if (exchange.is_awaited)
      Fail(id, exchange, PlacementFailure::kTimeout, now);
  }
}

void PlacementCoordinator::SendDueReports(base::TimePoint now) {
  for (auto& [name, report] : reports_.TakeDue(now)) {
    if (const PeerHost* owner = peers_.assignment().Find(name))
      context_.Emit(SendPlacementReport{owner->address, std::move(report)});
  }
}

std::optional<base::TimePoint> PlacementCoordinator::NextWakeup() const {
  std::optional<base::TimePoint> next = reports_.NextWakeup();
  const auto awaited = std::ranges::find_if(
      exchanges_, [](const auto& it) { return it.second.is_awaited; });
  if (awaited != exchanges_.end()) {
    const base::TimePoint timeout =
        awaited->second.requested_at + kPlacementTimeout;
    next = std::min(next.value_or(timeout), timeout);
  }
  return next;
}

}  // namespace bilberry::forward
