#include "LibForward/permit_coordinator.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// What an earlier keeper granted is over by then, and other hosts have learned
// of the new one.
constexpr std::chrono::milliseconds kTakeover{1000};
// More requests don't wait for the same keeper's answers; they go elsewhere, or
// come back.
constexpr size_t kMostOpenQuestions = 4;
constexpr std::chrono::milliseconds kBusyRetry{20};
// By then hosts that know different hosts know the same ones.
constexpr std::chrono::milliseconds kNotKeeperRetry{200};
constexpr std::chrono::milliseconds kLostRetry{100};

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

PermitRequestId PermitCoordinator::Ask(const ListedEndpoint& endpoint,
                                       base::Duration longest_wait,
                                       base::TimePoint now) {
  const EndpointLimits& limits = context_.conditions().limits;
  PermitRequest question;
  question.endpoint = endpoint.name;
  question.incarnation = endpoint.incarnation;
  question.zone = endpoint.zone;
  question.longest_wait = longest_wait;
  question.limit = limits.ReportOf(endpoint.name, endpoint.incarnation, now)
                       .value_or(LimitReport());
  question.cold = context_.conditions().cold_times.ReportOf(
      endpoint.name, endpoint.incarnation, now);
  const PermitRequestId id{++last_ask_};
  const PeerHost& limit_owner =
      peers_.assignment().LimitOwnerOf({endpoint.name, endpoint.zone});
  const size_t open = OpenQuestionsOf(endpoint.name);
  const Question& asked =
      questions_.emplace(id, Question{endpoint, limit_owner.name, now})
          .first->second;
  if (peers_.assignment().IsOwn(limit_owner)) {
    Finish(id, ResultOf(asked, Grant(question, now), now));
  } else if (open >= kMostOpenQuestions) {
    Finish(id, LimitOwnerUnavailable{now + kBusyRetry});
  } else {
    peers_.NoteUse(limit_owner.name, now);
    context_.Emit(RequestPermit{id, limit_owner.address, std::move(question)});
  }
  return id;
}

size_t PermitCoordinator::OpenQuestionsOf(
    const base::EndpointName& endpoint) const {
  return static_cast<size_t>(
      std::ranges::count_if(questions_, [&endpoint](const auto& it) {
        return it.second.endpoint.name == endpoint;
      }));
}

std::vector<PermitOutcome> PermitCoordinator::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

PermitDecision PermitCoordinator::Grant(const PermitRequest& question,
                                        base::TimePoint now) {
  if (!IsLimitOwnerOf({question.endpoint, question.zone}))
    return NotLimitOwner{};
  const auto per_second =
      context_.conditions().RateOf(question.endpoint, question.incarnation);
  if (!per_second)
    return PermitGranted{};
  if (!book_.Keeps(question.endpoint))
    context_.Log(base::LogEventId::kLimitKept, "",
                 {{"endpoint", question.endpoint.value},
                  {"per_second", ToText(RequestLimit{per_second})}});
  return book_.Ask({question.endpoint, question.incarnation, *per_second,
                    question.longest_wait, peers_.changed_at() + kTakeover},
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

void PermitCoordinator::NoteHeard(const base::EndpointName& endpoint,
                                  base::Incarnation incarnation,
                                  base::TimePoint now) {
  const auto kept = Find(endpoint);
  const auto word =
      context_.conditions().limits.ReportOf(endpoint, incarnation, now);
  if (!kept || !word)
    return;
  MonitorLimitOwnerOf(*kept);
  const EndpointLimitReport told{endpoint, incarnation, *word};
  if (IsLimitOwnerOf(*kept))
    TellListeners(told);
  else
    context_.Emit(SendLimitsToPeer{
        peers_.assignment().LimitOwnerOf(*kept).address, {told}});
}

void PermitCoordinator::TellListeners(const EndpointLimitReport& told) {
  for (const PeerHost& it : peers_.store_sync_sources())
    context_.Emit(SendLimitsToPeer{it.address, {told}});
}

void PermitCoordinator::TakeReports(
    const std::vector<EndpointLimitReport>& limits,
    base::TimePoint now) {
  for (const EndpointLimitReport& it : limits)
    TakeWord(it, now);
}

void PermitCoordinator::TakeWord(const EndpointLimitReport& told,
                                 base::TimePoint now) {
  if (!context_.conditions().limits.NoteByPeer(told.endpoint, told.incarnation,
                                               told.word, now))
    return;
  context_.LogLimit(told.endpoint, told.incarnation, told.word.limit, "peer");
  const auto kept = Find(told.endpoint);
  if (!kept)
    return;
  MonitorLimitOwnerOf(*kept);
  if (IsLimitOwnerOf(*kept))
    TellListeners(told);
}

void PermitCoordinator::Handle(const PeerPermitRequested& event,
                               base::TimePoint now) {
  const PermitRequest& question = event.question;
  TakeWord({question.endpoint, question.incarnation, question.limit}, now);
  if (question.cold)
    context_.conditions().cold_times.NoteByPeer(
        question.endpoint, question.incarnation, *question.cold, now);
  const PermitDecision verdict = Grant(question, now);
  context_.Emit(AnswerPermit{
      event.exchange,
      {verdict, context_.conditions().limits.ReportOf(
                    question.endpoint, question.incarnation, now)}});
}

PermitResult PermitCoordinator::ResultOf(const Question& question,
                                         const PermitDecision& verdict,
                                         base::TimePoint now) {
  return std::visit(base::Overloaded{
                        [&](const PermitGranted& it) -> PermitResult {
                          return HeldPermit{
                              question.endpoint, now + it.begins_in,
                              question.asked + it.begins_in + kPermitLifetime};
                        },
                        [&](const PermitRefused& it) -> PermitResult {
                          return NoPermitInTime{now + it.next_in};
                        },
                        [&](const NotLimitOwner&) -> PermitResult {
                          return LimitOwnerUnavailable{now + kNotKeeperRetry};
                        },
                    },
                    verdict);
}

void PermitCoordinator::Finish(PermitRequestId id, const PermitResult& result) {
  const auto node = questions_.extract(id);
  if (node.empty())
    return;
  const Question& question = node.mapped();
  outcomes_.push_back({id, question.endpoint, question.limit_owner, result});
}

void PermitCoordinator::Handle(const PermitAnswered& event,
                               base::TimePoint now) {
  const auto it = questions_.find(event.ask);
  if (it == questions_.end())
    return;
  const Question& question = it->second;
  peers_.NoteHeard(question.limit_owner, now);
  if (event.answer.limit)
    TakeWord({question.endpoint.name, question.endpoint.incarnation,
              *event.answer.limit},
             now);
  Finish(event.ask, ResultOf(question, event.answer.verdict, now));
}

void PermitCoordinator::Handle(const PermitRequestFailed& event,
                               base::TimePoint now) {
  Finish(event.ask, LimitOwnerUnavailable{now + kLostRetry});
}

void PermitCoordinator::MonitorLimitOwnerOf(const EndpointLimitKey& endpoint) {
  const HostAssignment& assignment = peers_.assignment();
  const PeerHost& ideal = assignment.PreferredLimitOwnerOf(endpoint);
  if (assignment.IsOwn(ideal) ||
      !assignment.IsOwn(assignment.LimitOwnerSuccessorOf(endpoint)))
    return;
  if (guarded_.insert(ideal.name).second)
    peers_.MonitorLimitOwners(guarded_);
}

void PermitCoordinator::Review() {
  const auto lost = book_.Drop([this](const base::EndpointName& name) {
    const auto kept = Find(name);
    // Of a cold endpoint this host may hear by questions first.
    return kept ? !IsLimitOwnerOf(*kept)
                : !context_.conditions().cold_times.Knows(name);
  });
  for (const base::EndpointName& it : lost)
    context_.Log(base::LogEventId::kLimitHandedOver, "",
                 {{"endpoint", it.value}});
  guarded_.clear();
  for (const auto& [name, zone] : zones_) {
    if (context_.conditions().KnowsRateOf(name))
      MonitorLimitOwnerOf({name, zone});
  }
  peers_.MonitorLimitOwners(guarded_);
}

}  // namespace bilberry::forward
