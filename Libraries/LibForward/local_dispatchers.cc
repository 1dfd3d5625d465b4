#include "LibForward/local_dispatchers.h"

#include <algorithm>
#include <iterator>

#include "LibBase/overloaded.h"

namespace bilberry::forward {

namespace {

// Lists each request id once, in the order of the call. The pieces of a request
// are adjacent.
std::string RequestIdsOf(const StageCall& call) {
  std::string ids;
  const std::string* last = nullptr;
  for (const PieceRequest& piece : call.pieces) {
    if (last != nullptr && *last == piece.request_id)
      continue;
    last = &piece.request_id;
    ids += (ids.empty() ? "" : " ") + piece.request_id;
  }
  return ids;
}

// Lists each request once.
std::vector<policy::CrashSuspect> SuspectsOf(const StageCall& call) {
  std::vector<policy::CrashSuspect> suspects;
  for (const PieceRequest& piece : call.pieces) {
    if (suspects.empty() || suspects.back().name != piece.digest)
      suspects.push_back({piece.digest});
  }
  return suspects;
}

}  // namespace

void LocalDispatchers::Reconfigure(const ForwardConfiguration& configuration) {
  limits_.clear();
  for (const ForwardedPool& pool : configuration.pools) {
    if (pool.pieces)
      limits_.emplace(pool.name, *pool.pieces);
  }
  for (auto& [at, entry] : entries_) {
    const auto it = limits_.find(at.pool);
    if (it != limits_.end())
      entry.dispatcher.Reconfigure(it->second);
  }
}

void LocalDispatchers::SetEndpoints(std::vector<ListedEndpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  for (auto& [at, entry] : entries_)
    UpdateEndpoints(at, entry);
}

void LocalDispatchers::UpdateEndpoints(const CellPool& at, Entry& entry) {
  std::vector<ListedEndpoint> own;
  std::ranges::copy_if(endpoints_, std::back_inserter(own),
                       [&at](const ListedEndpoint& it) {
                         return it.pool == at.pool && at.cell.Holds(it);
                       });
  entry.dispatcher.SetEndpoints(own);
}

LocalDispatchers::Entry* LocalDispatchers::FindOrAdd(const CellPool& at) {
  const auto limits = limits_.find(at.pool);
  if (limits == limits_.end())
    return nullptr;
  const auto [it, is_new] =
      entries_.try_emplace(at, limits->second, context_.conditions());
  if (is_new)
    UpdateEndpoints(at, it->second);
  return &it->second;
}

void LocalDispatchers::SetLimitShare(const CellPool& at, double share) {
  if (Entry* entry = FindOrAdd(at))
    entry->dispatcher.SetLimitShare(share);
}

std::optional<JobId> LocalDispatchers::Submit(const CellPool& at,
                                              StageJob job,
                                              JobOrigin origin,
                                              base::TimePoint now) {
  Entry* entry = FindOrAdd(at);
  if (entry == nullptr)
    return std::nullopt;
  std::string request_id = job.request_id;
  const JobId id = entry->dispatcher.Submit(std::move(job), now);
  entry->submitted.emplace(id, SubmittedJob{origin, std::move(request_id)});
  return id;
}

void LocalDispatchers::Withdraw(const CellPool& at, JobId job) {
  const auto it = entries_.find(at);
  if (it == entries_.end())
    return;
  it->second.dispatcher.Withdraw(job);
  it->second.submitted.erase(job);
}

void LocalDispatchers::Free(const CellPool& at,
                            const std::vector<StageResult>& results,
                            base::TimePoint now) {
  if (Entry* entry = FindOrAdd(at))
    entry->dispatcher.Free(results, now);
}

void LocalDispatchers::Handle(const ResultsFreed& event) {
  for (auto& [at, entry] : entries_) {
    if (at.pool == event.free_request.pool)
      entry.dispatcher.NoteFreed(event.free_request);
  }
}

void LocalDispatchers::Handle(const StageCallEnded& event,
                              base::TimePoint now) {
  const auto node = calls_.extract(event.call);
  if (node.empty())
    return;
  const OpenCall& call = node.mapped();
  LogCall(call, event.outcome, now);
  const auto* failure = std::get_if<StageCallFailure>(&event.outcome);
  ReachMonitor& reach = context_.conditions().reach;
  if (failure != nullptr && *failure == StageCallFailure::kUnreachable)
    reach.NoteUnreachable(call.endpoint, ReachMonitor::Purpose::kWork,
                          call.sent, now);
  if (failure != nullptr && *failure == StageCallFailure::kBroken &&
      !reach.is_cut_off())
    context_.conditions().crashes.NoteBroken(call.endpoint, call.suspects, now);
  const auto it = entries_.find(call.at);
  if (it == entries_.end())
    return;
  if (it->second.dispatcher.FinishCall(call.id, event.outcome, now) ==
      AnswerMatch::kMatched)
    return;
  context_.Log(base::LogEventId::kConnectionsCondemned, "",
               {{"endpoint", call.endpoint.value}});
  context_.Emit(RetireConnections{call.address});
}

void LocalDispatchers::LogCall(const OpenCall& call,
                               const StageCallOutcome& outcome,
                               base::TimePoint now) {
  std::vector<LogField> fields{
      {"pool", call.at.pool.value},
      {"cell", call.at.cell.zone.value},
      {"endpoint", call.endpoint.value},
      {"pieces", std::to_string(call.pieces)},
      {"ms", ToMilliseconds(now - call.sent)},
      {"left_waiting", std::to_string(call.waiting_pieces)},
      {"room_used_percent", std::to_string(call.used_percent)},
      {"room_usable_percent", std::to_string(call.usable_percent)},
      {"requests", call.requests}};
  std::visit(base::Overloaded{
                 [&fields](const std::vector<PieceOutcome>& it) {
                   fields.push_back(
                       {"made",
                        std::to_string(std::ranges::count_if(
                            it, [](const PieceOutcome& piece) {
                              return std::holds_alternative<std::string>(piece);
                            }))});
                 },
                 [&fields](StageCallFailure it) {
                   fields.push_back({"failure", std::string(ToText(it))});
                 },
             },
             outcome);
  context_.Log(base::LogEventId::kStageCallEnded, "", std::move(fields));
}

void LocalDispatchers::Dispatch(base::TimePoint now) {
  for (auto& [at, entry] : entries_) {
    MakeCalls(at, entry, now);
    for (FreeRequest& free_request : entry.dispatcher.TakeFreeRequests(now))
      context_.Emit(FreeResults{std::move(free_request)});
    TakeOutcomesOf(at, entry, now);
  }
}

void LocalDispatchers::MakeCalls(const CellPool& at,
                                 Entry& entry,
                                 base::TimePoint now) {
  while (auto call = entry.dispatcher.NextCall(now)) {
    const StageCallId id{++last_call_};
    calls_.emplace(id, OpenCall{at, call->id, call->endpoint, call->address,
                                now, call->pieces.size(), RequestIdsOf(*call),
                                call->used_percent, call->usable_percent,
                                call->waiting_pieces, SuspectsOf(*call)});
    call->id = id;
    context_.Emit(CallStage{std::move(*call)});
  }
}

void LocalDispatchers::TakeOutcomesOf(const CellPool& at,
                                      Entry& entry,
                                      base::TimePoint now) {
  auto outcomes = entry.dispatcher.TakeOutcomes();
  if (outcomes.empty())
    return;
  const base::Duration backlog = entry.dispatcher.Backlog(now);
  for (auto& [job, outcome] : outcomes) {
    const auto node = entry.submitted.extract(job);
    if (node.empty())
      continue;
    if (const auto* failure = std::get_if<JobFailure>(&outcome))
      LogRefused(at, entry, node.mapped().request_id, *failure);
    outcomes_.push_back({node.mapped().origin, std::move(outcome), backlog});
  }
}

void LocalDispatchers::LogRefused(const CellPool& at,
                                  const Entry& entry,
                                  const std::string& request_id,
                                  const JobFailure& failure) {
  context_.Log(
      base::LogEventId::kJobRefused, request_id,
      {{"pool", at.pool.value},
       {"cell", at.cell.zone.value},
       {"reason", std::string(ToText(failure.kind))},
       {"waiting_pieces", std::to_string(entry.dispatcher.waiting_pieces())},
       {"endpoints", std::to_string(entry.dispatcher.ServingCount())},
       {"retry_ms", ToMilliseconds(failure.retry_after)}});
}

std::vector<FinishedJob> LocalDispatchers::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

std::optional<base::TimePoint> LocalDispatchers::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& [at, entry] : entries_) {
    const auto wakeup = entry.dispatcher.NextWakeup();
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

}  // namespace bilberry::forward
