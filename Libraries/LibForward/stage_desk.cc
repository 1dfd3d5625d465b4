#include "LibForward/stage_desk.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// After this many lost peers a host does the job itself.
constexpr uint32_t kMaxHostsLost = 2;
constexpr std::chrono::milliseconds kRetryAfterLoss{1000};

// Each request once, in the order of the call; a request's pieces lie together.
std::string RequestsOf(const StageCall& call) {
  std::string ids;
  const std::string* last = nullptr;
  for (const PieceOrder& piece : call.pieces) {
    if (last != nullptr && *last == piece.request_id)
      continue;
    last = &piece.request_id;
    ids += (ids.empty() ? "" : " ") + piece.request_id;
  }
  return ids;
}

}  // namespace

StageDesk::StageDesk(ForwardContext& context)
    : context_(context), ring_(context.options().own) {}

void StageDesk::Reconfigure(const ForwardConfiguration& configuration) {
  for (const ForwardedPool& pool : configuration.pools) {
    if (!pool.pieces)
      continue;
    const auto [it, is_new] = pools_.try_emplace(pool.name, *pool.pieces);
    if (!is_new)
      it->second.dispatcher.Reconfigure(*pool.pieces);
  }
  SetEndpoints(std::move(endpoints_));
  WatchDispatchers();
}

void StageDesk::SetEndpoints(std::vector<ListedEndpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  for (auto& entry : pools_) {
    const base::PoolName& name = entry.first;
    std::vector<ListedEndpoint> own;
    std::ranges::copy_if(
        endpoints_, std::back_inserter(own),
        [&name](const ListedEndpoint& it) { return it.pool == name; });
    entry.second.dispatcher.SetEndpoints(own);
  }
}

StageDesk::Pool* StageDesk::FindPool(const base::PoolName& name) {
  const auto it = pools_.find(name);
  return it == pools_.end() ? nullptr : &it->second;
}

bool StageDesk::CanServe(const base::PoolName& pool) const {
  const auto it = pools_.find(pool);
  return it != pools_.end() && it->second.dispatcher.ServingCount() > 0;
}

AskId StageDesk::Ask(StageJob job, base::TimePoint now) {
  const AskId id{++last_ask_};
  Question question;
  question.target = now + job.until_target;
  question.deadline = now + job.until_deadline;
  if (job.until_inputs_gone)
    question.inputs_gone = now + *job.until_inputs_gone;
  question.job = std::move(job);
  Place(id, questions_.emplace(id, std::move(question)).first->second, now);
  return id;
}

void StageDesk::Place(AskId id, Question& question, base::TimePoint now) {
  StageJob job = question.job;
  job.until_target = question.target - now;
  job.until_deadline = question.deadline - now;
  if (question.inputs_gone)
    job.until_inputs_gone = *question.inputs_gone - now;
  const bool is_alone =
      !context_.options().shares_calls || question.hosts_lost > kMaxHostsLost;
  const PeerHost& host =
      is_alone ? context_.options().own : ring_.DispatcherOf(job.pool);
  question.host = host.name;
  if (!ring_.IsOwn(host)) {
    watch_.NoteUse(now);
    context_.Emit(AskPeer{id, host.address, std::move(job)});
    return;
  }
  Pool* pool = FindPool(job.pool);
  if (pool == nullptr) {
    outcomes_.emplace_back(
        id, JobFailure{JobFailureKind::kNoEndpoint, kRetryAfterLoss});
    questions_.erase(id);
    return;
  }
  question.local = SubmitHere(*pool, std::move(job), id, now);
}

JobId StageDesk::SubmitHere(Pool& pool,
                            StageJob job,
                            Origin origin,
                            base::TimePoint now) {
  std::string request_id = job.request_id;
  const JobId id = pool.dispatcher.Submit(std::move(job), now);
  pool.submitted.emplace(id, SubmittedJob{origin, std::move(request_id)});
  return id;
}

void StageDesk::Withdraw(AskId id) {
  const auto node = questions_.extract(id);
  if (node.empty())
    return;
  const Question& question = node.mapped();
  if (!question.local) {
    context_.Emit(CancelAsk{id});
    return;
  }
  if (Pool* pool = FindPool(question.job.pool)) {
    pool->dispatcher.Withdraw(*question.local);
    pool->submitted.erase(*question.local);
  }
}

std::vector<std::pair<AskId, AskOutcome>> StageDesk::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

void StageDesk::Release(const AskedResults& results, base::TimePoint now) {
  const PeerHost* host = ring_.Find(results.host);
  // In place of a host that is gone, the next dispatcher frees them.
  if (host == nullptr || ring_.IsSilent(host->name))
    host = &ring_.DispatcherOf(results.pool);
  if (!ring_.IsOwn(*host)) {
    context_.Emit(TellPeerRead{host->address, results.pool, results.results});
    return;
  }
  if (Pool* pool = FindPool(results.pool))
    pool->dispatcher.Free(results.results, now);
}

void StageDesk::Handle(const PeerJobAsked& event, base::TimePoint now) {
  Pool* pool = FindPool(event.job.pool);
  if (pool == nullptr) {
    context_.Emit(
        AnswerPeer{event.exchange,
                   JobFailure{JobFailureKind::kHostLost, kRetryAfterLoss}});
    return;
  }
  const JobId id = SubmitHere(*pool, event.job, event.exchange, now);
  peer_jobs_.emplace(event.exchange, std::pair(event.job.pool, id));
}

void StageDesk::Handle(const PeerJobLeft& event) {
  const auto node = peer_jobs_.extract(event.exchange);
  if (node.empty())
    return;
  const auto& [name, job] = node.mapped();
  if (Pool* pool = FindPool(name)) {
    pool->dispatcher.Withdraw(job);
    pool->submitted.erase(job);
  }
}

void StageDesk::Handle(const PeerResultsRead& event, base::TimePoint now) {
  if (Pool* pool = FindPool(event.pool))
    pool->dispatcher.Free(event.results, now);
}

void StageDesk::Handle(const PeerJobEnded& event, base::TimePoint now) {
  const auto it = questions_.find(event.ask);
  if (it == questions_.end())
    return;
  const auto* failure = std::get_if<JobFailure>(&event.outcome);
  // A peer that can't serve the pool is like one that can't be reached.
  if (failure != nullptr && failure->kind == JobFailureKind::kHostLost) {
    Handle(PeerJobLost{event.ask, "the peer does not serve the pool"}, now);
    return;
  }
  ring_.NoteAnswer(it->second.host);
  if (failure != nullptr)
    outcomes_.emplace_back(event.ask, *failure);
  else
    outcomes_.emplace_back(
        event.ask, AskedResults{it->second.host, it->second.job.pool,
                                std::get<JobResults>(event.outcome).results});
  questions_.erase(it);
}

void StageDesk::Handle(const PeerJobLost& event, base::TimePoint now) {
  const auto it = questions_.find(event.ask);
  if (it == questions_.end())
    return;
  Question& question = it->second;
  context_.Log(base::LogEventId::kDispatcherLost, question.job.request_id,
               {{"host", question.host.value},
                {"pool", question.job.pool.value},
                {"reason", event.detail}});
  ring_.NoteSilent(question.host);
  WatchDispatchers();
  Move(event.ask, question, now);
}

void StageDesk::Move(AskId id, Question& question, base::TimePoint now) {
  ++question.hosts_lost;
  Place(id, question, now);
}

void StageDesk::Handle(const ResultsFreed& event) {
  if (Pool* pool = FindPool(event.order.pool))
    pool->dispatcher.NoteFreed(event.order);
}

void StageDesk::Handle(const PeerAlive& event) {
  watch_.NoteEnded(event.host);
  if (!ring_.IsSilent(event.host))
    return;
  ring_.NoteAnswer(event.host);
  WatchDispatchers();
  context_.Log(base::LogEventId::kDispatcherBack, "",
               {{"host", event.host.value}});
}

void StageDesk::Handle(const PeerSilent& event, base::TimePoint now) {
  watch_.NoteEnded(event.host);
  if (ring_.IsSilent(event.host))
    return;
  ring_.NoteSilent(event.host);
  WatchDispatchers();
  context_.Log(base::LogEventId::kDispatcherLost, "",
               {{"host", event.host.value}, {"reason", event.detail}});
  std::vector<AskId> waiting;
  for (const auto& [id, question] : questions_) {
    if (!question.local && question.host == event.host)
      waiting.push_back(id);
  }
  for (const AskId id : waiting) {
    context_.Emit(CancelAsk{id});
    Move(id, questions_.at(id), now);
  }
}

void StageDesk::SetHosts(std::span<const PeerHost> hosts) {
  ring_.SetHosts(hosts);
  WatchDispatchers();
}

void StageDesk::WatchDispatchers() {
  std::set<base::HostName> hosts;
  for (const auto& [name, pool] : pools_) {
    for (const PeerHost* host :
         {&ring_.DispatcherOf(name), &ring_.IdealDispatcherOf(name)}) {
      if (!ring_.IsOwn(*host))
        hosts.insert(host->name);
    }
  }
  watch_.Watch(hosts);
}

void StageDesk::AskPeers(base::TimePoint now) {
  for (const base::HostName& name : watch_.TakeDue(now)) {
    if (const PeerHost* host = ring_.Find(name))
      context_.Emit(AskWhetherAlive{name, host->address});
    else
      watch_.NoteEnded(name);
  }
}

void StageDesk::Handle(const StageCallEnded& event, base::TimePoint now) {
  const auto node = calls_.extract(event.call);
  if (node.empty())
    return;
  const OpenCall& call = node.mapped();
  LogCall(call, event.outcome, now);
  if (Pool* pool = FindPool(call.pool))
    pool->dispatcher.FinishCall(call.id, event.outcome, now);
}

void StageDesk::LogCall(const OpenCall& call,
                        const StageCallOutcome& outcome,
                        base::TimePoint now) {
  std::vector<LogFact> facts{
      {"pool", call.pool.value},
      {"endpoint", call.endpoint.value},
      {"pieces", std::to_string(call.pieces)},
      {"ms", ToMilliseconds(now - call.sent)},
      {"left_waiting", std::to_string(call.waiting_pieces)},
      {"room_used_percent", std::to_string(call.room_percent)},
      {"room_usable_percent", std::to_string(call.usable_percent)},
      {"requests", call.requests}};
  std::visit(base::Overloaded{
                 [&facts](const std::vector<PieceOutcome>& it) {
                   facts.push_back(
                       {"made",
                        std::to_string(std::ranges::count_if(
                            it, [](const PieceOutcome& piece) {
                              return std::holds_alternative<std::string>(piece);
                            }))});
                 },
                 [&facts](StageCallFailure it) {
                   facts.push_back({"failure", std::string(ToText(it))});
                 },
             },
             outcome);
  context_.Log(base::LogEventId::kStageCallEnded, "", std::move(facts));
}

void StageDesk::Dispatch(base::TimePoint now) {
  AskPeers(now);
  for (auto& [name, pool] : pools_) {
    MakeCalls(name, pool, now);
    for (FreeOrder& order : pool.dispatcher.TakeFreeOrders(now))
      context_.Emit(FreeResults{std::move(order)});
    GiveOutcomes(name, pool);
  }
}

void StageDesk::MakeCalls(const base::PoolName& name,
                          Pool& pool,
                          base::TimePoint now) {
  while (auto call = pool.dispatcher.NextCall(now)) {
    const StageCallId id{++last_call_};
    calls_.emplace(
        id, OpenCall{name, call->id, call->endpoint, now, call->pieces.size(),
                     RequestsOf(*call), call->room_percent,
                     call->usable_percent, call->waiting_pieces});
    call->id = id;
    context_.Emit(CallStage{std::move(*call)});
  }
}

void StageDesk::GiveOutcomes(const base::PoolName& name, Pool& pool) {
  for (auto& [job, outcome] : pool.dispatcher.TakeOutcomes()) {
    const auto node = pool.submitted.extract(job);
    if (node.empty())
      continue;
    if (const auto* failure = std::get_if<JobFailure>(&outcome))
      LogRefused(name, pool, node.mapped().request_id, *failure);
    GiveOutcome(node.mapped().origin, std::move(outcome));
  }
}

void StageDesk::LogRefused(const base::PoolName& name,
                           const Pool& pool,
                           const std::string& request_id,
                           const JobFailure& failure) {
  context_.Log(
      base::LogEventId::kJobRefused, request_id,
      {{"pool", name.value},
       {"reason", std::string(ToText(failure.kind))},
       {"waiting_pieces", std::to_string(pool.dispatcher.waiting_pieces())},
       {"endpoints", std::to_string(pool.dispatcher.ServingCount())},
       {"retry_ms", ToMilliseconds(failure.retry_after)}});
}

void StageDesk::GiveOutcome(const Origin& origin, JobOutcome outcome) {
  std::visit(
      base::Overloaded{
          [&](PeerExchangeId exchange) {
            peer_jobs_.erase(exchange);
            context_.Emit(AnswerPeer{exchange, std::move(outcome)});
          },
          [&](AskId ask) {
            const auto node = questions_.extract(ask);
            if (node.empty())
              return;
            const Question& question = node.mapped();
            if (const auto* failure = std::get_if<JobFailure>(&outcome)) {
              outcomes_.emplace_back(ask, *failure);
              return;
            }
            outcomes_.emplace_back(
                ask, AskedResults{question.host, question.job.pool,
                                  std::get<JobResults>(outcome).results});
          },
      },
      origin);
}

std::optional<base::TimePoint> StageDesk::NextWakeup() const {
  std::optional<base::TimePoint> next = watch_.NextWakeup();
  for (const auto& [name, pool] : pools_) {
    const auto wakeup = pool.dispatcher.NextWakeup();
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

}  // namespace bilberry::forward
