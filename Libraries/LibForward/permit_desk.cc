#include "LibForward/permit_desk.h"

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
  return std::visit(base::Overloaded{
                        [](const HeldPermit&) { return "granted"; },
                        [](const NoPermitBefore&) { return "none_in_time"; },
                        [](const KeeperUnknown&) { return "keeper_unknown"; },
                    },
                    result);
}

PermitAskId PermitDesk::Ask(const ListedEndpoint& endpoint,
                            base::Duration longest_wait,
                            base::TimePoint now) {
  const EndpointLimits& limits = context_.words().limits;
  PermitQuestion question;
  question.endpoint = endpoint.name;
  question.incarnation = endpoint.incarnation;
  question.zone = endpoint.zone;
  question.longest_wait = longest_wait;
  question.limit = limits.WordOf(endpoint.name, endpoint.incarnation, now)
                       .value_or(LimitWord());
  question.cold = context_.words().cold_times.WordOf(endpoint.name,
                                                     endpoint.incarnation, now);
  const PermitAskId id{++last_ask_};
  const PeerHost& keeper =
      peers_.ring().KeeperOf({endpoint.name, endpoint.zone});
  const size_t open = OpenQuestionsOf(endpoint.name);
  const Question& asked =
      questions_.emplace(id, Question{endpoint, keeper.name, now})
          .first->second;
  if (peers_.ring().IsOwn(keeper)) {
    Finish(id, ResultOf(asked, Grant(question, now), now));
  } else if (open >= kMostOpenQuestions) {
    Finish(id, KeeperUnknown{now + kBusyRetry});
  } else {
    peers_.NoteUse(keeper.name, now);
    context_.Emit(AskPermit{id, keeper.address, std::move(question)});
  }
  return id;
}

size_t PermitDesk::OpenQuestionsOf(const base::EndpointName& endpoint) const {
  return static_cast<size_t>(
      std::ranges::count_if(questions_, [&endpoint](const auto& it) {
        return it.second.endpoint.name == endpoint;
      }));
}

std::vector<PermitOutcome> PermitDesk::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

PermitVerdict PermitDesk::Grant(const PermitQuestion& question,
                                base::TimePoint now) {
  if (!IsKeeperOf({question.endpoint, question.zone}))
    return NotKeeper{};
  const auto per_second =
      context_.words().RateOf(question.endpoint, question.incarnation);
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

void PermitDesk::SetEndpoints(std::span<const ListedEndpoint> endpoints) {
  zones_.clear();
  for (const ListedEndpoint& it : endpoints)
    zones_.emplace(it.name, it.zone);
}

std::optional<KeptEndpoint> PermitDesk::Find(
    const base::EndpointName& endpoint) const {
  const auto it = zones_.find(endpoint);
  if (it == zones_.end())
    return std::nullopt;
  return KeptEndpoint{endpoint, it->second};
}

bool PermitDesk::IsKeeperOf(const KeptEndpoint& endpoint) const {
  return peers_.ring().IsOwn(peers_.ring().KeeperOf(endpoint));
}

void PermitDesk::NoteHeard(const base::EndpointName& endpoint,
                           base::Incarnation incarnation,
                           base::TimePoint now) {
  const auto kept = Find(endpoint);
  const auto word = context_.words().limits.WordOf(endpoint, incarnation, now);
  if (!kept || !word)
    return;
  GuardKeeperOf(*kept);
  const ToldLimit told{endpoint, incarnation, *word};
  if (IsKeeperOf(*kept))
    TellListeners(told);
  else
    context_.Emit(TellLimits{peers_.ring().KeeperOf(*kept).address, {told}});
}

void PermitDesk::TellListeners(const ToldLimit& told) {
  for (const PeerHost& it : peers_.news_hosts())
    context_.Emit(TellLimits{it.address, {told}});
}

void PermitDesk::TakeWords(const std::vector<ToldLimit>& limits,
                           base::TimePoint now) {
  for (const ToldLimit& it : limits)
    TakeWord(it, now);
}

void PermitDesk::TakeWord(const ToldLimit& told, base::TimePoint now) {
  if (!context_.words().limits.NoteByPeer(told.endpoint, told.incarnation,
                                          told.word, now))
    return;
  context_.LogLimit(told.endpoint, told.incarnation, told.word.limit, "peer");
  const auto kept = Find(told.endpoint);
  if (!kept)
    return;
  GuardKeeperOf(*kept);
  if (IsKeeperOf(*kept))
    TellListeners(told);
}

void PermitDesk::Handle(const PeerPermitAsked& event, base::TimePoint now) {
  const PermitQuestion& question = event.question;
  TakeWord({question.endpoint, question.incarnation, question.limit}, now);
  if (question.cold)
    context_.words().cold_times.NoteByPeer(
        question.endpoint, question.incarnation, *question.cold, now);
  const PermitVerdict verdict = Grant(question, now);
  context_.Emit(AnswerPermit{
      event.exchange,
      {verdict, context_.words().limits.WordOf(question.endpoint,
                                               question.incarnation, now)}});
}

PermitResult PermitDesk::ResultOf(const Question& question,
                                  const PermitVerdict& verdict,
                                  base::TimePoint now) {
  return std::visit(base::Overloaded{
                        [&](const PermitGranted& it) -> PermitResult {
                          return HeldPermit{
                              question.endpoint, now + it.begins_in,
                              question.asked + it.begins_in + kPermitLasts};
                        },
                        [&](const PermitRefused& it) -> PermitResult {
                          return NoPermitBefore{now + it.next_in};
                        },
                        [&](const NotKeeper&) -> PermitResult {
                          return KeeperUnknown{now + kNotKeeperRetry};
                        },
                    },
                    verdict);
}

void PermitDesk::Finish(PermitAskId id, const PermitResult& result) {
  const auto node = questions_.extract(id);
  if (node.empty())
    return;
  const Question& question = node.mapped();
  outcomes_.push_back({id, question.endpoint, question.keeper, result});
}

void PermitDesk::Handle(const PermitAnswered& event, base::TimePoint now) {
  const auto it = questions_.find(event.ask);
  if (it == questions_.end())
    return;
  const Question& question = it->second;
  peers_.NoteHeard(question.keeper, now);
  if (event.answer.limit)
    TakeWord({question.endpoint.name, question.endpoint.incarnation,
              *event.answer.limit},
             now);
  Finish(event.ask, ResultOf(question, event.answer.verdict, now));
}

void PermitDesk::Handle(const PermitLost& event, base::TimePoint now) {
  Finish(event.ask, KeeperUnknown{now + kLostRetry});
}

void PermitDesk::GuardKeeperOf(const KeptEndpoint& endpoint) {
  const HostRing& ring = peers_.ring();
  const PeerHost& ideal = ring.IdealKeeperOf(endpoint);
  if (ring.IsOwn(ideal) || !ring.IsOwn(ring.KeeperAfter(endpoint)))
    return;
  if (guarded_.insert(ideal.name).second)
    peers_.GuardKeepers(guarded_);
}

void PermitDesk::Review() {
  const auto lost = book_.Drop([this](const base::EndpointName& name) {
    const auto kept = Find(name);
    // Of a cold endpoint this host may hear by questions first.
    return kept ? !IsKeeperOf(*kept) : !context_.words().cold_times.Knows(name);
  });
  for (const base::EndpointName& it : lost)
    context_.Log(base::LogEventId::kLimitHandedOver, "",
                 {{"endpoint", it.value}});
  guarded_.clear();
  for (const auto& [name, zone] : zones_) {
    if (context_.words().KnowsRateOf(name))
      GuardKeeperOf({name, zone});
  }
  peers_.GuardKeepers(guarded_);
}

}  // namespace bilberry::forward
