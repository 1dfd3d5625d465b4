#include "LibForward/stage_dispatcher.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// A piece that endpoints failed is asked for again this often at the most.
constexpr uint32_t kMaxRepeats = 2;
// Failed calls whose pieces can be asked for again before the budget has to be
// earned.
constexpr uint32_t kSavedCalls = 2;
// A call is given up after this many times what it should take, and what
// fetching its inputs and the way there may take.
constexpr int kCallPatience = 3;
constexpr std::chrono::milliseconds kCallSlack{400};
// The usable part of an endpoint's room after a piece was refused for room, at
// the least, and what each call adds to it.
constexpr double kRoomShrink = 0.95;
constexpr double kLeastUsableRoom = 0.6;
// Results may be smaller than declared, and others are freed during a call.
constexpr double kMostUsableRoom = 1.3;
constexpr double kRoomGrowth = 0.005;
// Pieces that carry so much are made in their zone.
constexpr uint64_t kManyCrossingBytes = 300'000;
// The inputs of a piece must still be there when it is made; the first of them
// may have been made this long before the last.
constexpr std::chrono::milliseconds kFetchMargin{500};
// When a pool without endpoints is to be tried again.
constexpr std::chrono::milliseconds kNoEndpointRetry{1000};
constexpr std::chrono::milliseconds kShortestRetry{100};

constexpr uint64_t kPercent = 100;
// How much one call counts for the fullness of the next ones.
constexpr double kFullnessWeight = 0.1;

}  // namespace

// A call that fails may take a full load of pieces with it, which are all to be
// tried once more.
StageDispatcher::StageDispatcher(PieceLimits limits,
                                 EndpointConditions& conditions)
    : limits_(limits),
      conditions_(conditions),
      repeats_(kSavedCalls * limits.pieces_per_call) {}

void StageDispatcher::SetEndpoints(std::span<const ListedEndpoint> endpoints) {
  std::map<base::EndpointName, PieceEndpoint> present;
  for (const ListedEndpoint& listed : endpoints) {
    auto node = endpoints_.extract(listed.name);
    if (node.empty()) {
      present.emplace(listed.name, PieceEndpoint(listed, conditions_));
      continue;
    }
    node.mapped().SetListed(listed);
    present.insert(std::move(node));
  }
  endpoints_ = std::move(present);
  SetLimitShare(limit_share_);
}

void StageDispatcher::SetLimitShare(double share) {
  limit_share_ = share;
  for (auto& [name, endpoint] : endpoints_)
    endpoint.SetLimitShare(share);
}

JobId StageDispatcher::Submit(StageJob job, base::TimePoint now) {
  latest_ = now;
  const JobId id{++last_job_};
  Job record;
  record.target = now + std::min(job.until_target, job.until_deadline);
  record.deadline = now + job.until_deadline;
  record.inputs_gone = job.until_inputs_gone ? now + *job.until_inputs_gone
                                             : base::TimePoint::max();
  record.handles.resize(job.piece_count);
  record.makers.resize(job.piece_count);
  for (uint32_t i = 0; i < job.piece_count; ++i)
    record.waiting.push_back(i);
  record.job = std::move(job);
  if (ServingCount() == 0) {
    outcomes_.emplace_back(
        id, JobFailure{JobFailureKind::kNoEndpoint, kNoEndpointRetry});
    return id;
  }
  if (const auto refusal = RefusalOf(id, record, now)) {
    outcomes_.emplace_back(id, *refusal);
    return id;
  }
  jobs_.emplace(id, std::move(record));
  return id;
}

void StageDispatcher::Withdraw(JobId id) {
  const auto node = jobs_.extract(id);
  if (!node.empty())
    FreeMade(node.mapped());
}

std::vector<std::pair<JobId, JobOutcome>> StageDispatcher::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

base::Duration StageDispatcher::CallTime(size_t pieces) const {
  const size_t in_call = std::min<size_t>(pieces, limits_.pieces_per_call);
  return limits_.call_time + limits_.piece_time * in_call;
}

PoolThroughput StageDispatcher::PaceAt(base::TimePoint now) const {
  PoolThroughput pace;
  pace.next_turn = base::TimePoint::max();
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.is_serving())
      pace.next_turn = std::min(pace.next_turn,
                                endpoint.NextTurn(limits_.calls_at_once, now));
  }
  if (pace.next_turn == base::TimePoint::max())
    pace.next_turn = now;
  pace.round_time = CallTime(limits_.pieces_per_call);
  pace.pieces_per_round = std::max(
      static_cast<uint32_t>(CallsPerRound(pace.round_time, now) *
                            static_cast<double>(limits_.pieces_per_call)),
      1U);
  pace.fullness = fullness_;
  pace.left_for_late = left_for_late_;
  return pace;
}

// Once all are left alone for a while, what counts is what they do behind it.
double StageDispatcher::CallsPerRound(base::Duration round,
                                      base::TimePoint now) const {
  const bool is_any_open = OpenCount(now) > 0;
  double calls = 0;
  for (const auto& [name, endpoint] : endpoints_) {
    if (!endpoint.is_serving() || (is_any_open && !IsOpen(name, now)))
      continue;
    calls += endpoint.CallsPerRound(limits_.calls_at_once, round);
  }
  return calls;
}

// Only calls that leave something waiting tell what the pool can do; while none
// do, what was learned fades.
void StageDispatcher::NoteFullness(size_t pieces,
                                   size_t on_time_pieces,
                                   size_t waiting) {
  // Limits that say nothing of a call's time teach nothing.
  if (CallTime(1) <= base::Duration(0) || limits_.pieces_per_call == 0)
    return;
  const double full =
      static_cast<double>(limits_.pieces_per_call) /
      static_cast<double>(CallTime(limits_.pieces_per_call).count());
  const double made = static_cast<double>(pieces) /
                      static_cast<double>(CallTime(pieces).count());
  const double sample = waiting > 0 ? made / full : 1;
  fullness_ += kFullnessWeight * (sample - fullness_);
  const size_t could_take = waiting > 0 ? pieces : limits_.pieces_per_call;
  const double left =
      1 - static_cast<double>(on_time_pieces) / static_cast<double>(could_take);
  left_for_late_ += kFullnessWeight * (left - left_for_late_);
}

QueuedJob StageDispatcher::Queued(JobId id, const Job& job) const {
  return {id,
          job.job.pipeline,
          job.job.urgency,
          job.target,
          CallTime(job.waiting.size()) + job.job.time_after,
          static_cast<uint32_t>(job.waiting.size()),
          job.job.progress};
}

ServiceOrder StageDispatcher::OrderAt(const PoolThroughput& pace) const {
  std::vector<QueuedJob> queued;
  for (const auto& [id, job] : jobs_) {
    if (!job.waiting.empty())
      queued.push_back(Queued(id, job));
  }
  return OrderOfService(std::move(queued), pace);
}

// A job is refused when it asks if it can't be served by its deadline, or
// before its inputs are gone: neither on time nor behind those that are.
std::optional<JobFailure> StageDispatcher::RefusalOf(JobId id,
                                                     const Job& job,
                                                     base::TimePoint now) {
  const PoolThroughput pace = PaceAt(now);
  const ServiceOrder order = OrderAt(pace);
  // A request that has cost nothing yet doesn't wait for endpoints that all
  // want to be left alone.
  if (OpenCount(now) == 0 && job.job.progress == RequestProgress::kNew)
    return TooLate(job, order, pace, now);
  const QueuedJob queued = Queued(id, job);
  if (now + ExpectedWaitOnTime(queued, order, pace, now) + queued.needed <=
      job.target)
    return std::nullopt;
  const base::Duration wait = ExpectedLateWait(order, pace, now);
  if (now + wait + queued.needed <= job.deadline &&
      now + wait + kFetchMargin <= job.inputs_gone)
    return std::nullopt;
  return TooLate(job, order, pace, now);
}

JobFailure StageDispatcher::TooLate(const Job& job,
                                    const ServiceOrder& order,
                                    const PoolThroughput& pace,
                                    base::TimePoint now) {
  const base::Duration wait =
      ReserveRetrySlot(order, pace, now, job.job.piece_count, returns_until_);
  return {JobFailureKind::kTooLate,
          std::max<base::Duration>(wait, kShortestRetry)};
}

void StageDispatcher::FailTooLate(JobId id, base::TimePoint now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end())
    return;
  const PoolThroughput pace = PaceAt(now);
  Fail(id, TooLate(it->second, OrderAt(pace), pace, now));
}

// A job that has had no turn by then can't be served any more.
base::TimePoint StageDispatcher::LapseOf(const Job& job) const {
  const base::TimePoint too_late =
      job.deadline - job.job.time_after - CallTime(1) + base::Duration(1);
  return std::min(too_late, job.inputs_gone - kFetchMargin);
}

void StageDispatcher::DropLapsed(base::TimePoint now) {
  std::vector<JobId> lapsed;
  for (const auto& [id, job] : jobs_) {
    if (!job.waiting.empty() && now >= LapseOf(job))
      lapsed.push_back(id);
  }
  for (const JobId id : lapsed)
    FailTooLate(id, now);
}

StageDispatcher::OrderedJobs StageDispatcher::JobsInOrder(base::TimePoint now) {
  const PoolThroughput pace = PaceAt(now);
  const ServiceOrder order = OrderAt(pace);
  OrderedJobs ordered;
  ordered.queue_time = pace.TimeFor(waiting_pieces());
  ordered.on_time = order.on_time.size();
  for (const QueuedJob& it : order.on_time)
    ordered.jobs.emplace_back(it.id, &jobs_.at(it.id));
  for (const QueuedJob& it : order.late)
    ordered.jobs.emplace_back(it.id, &jobs_.at(it.id));
  return ordered;
}

std::optional<StageCall> StageDispatcher::NextCall(base::TimePoint now) {
  latest_ = now;
  if (jobs_.empty())
    return std::nullopt;
  DropLapsed(now);
  OrderedJobs jobs;
  for (auto& [name, endpoint] : endpoints_) {
    endpoint.room().DropExpired(now);
    if (!endpoint.IsIdle(limits_.calls_at_once, now))
      continue;
    if (jobs.jobs.empty())
      jobs = JobsInOrder(now);
    if (jobs.jobs.empty())
      return std::nullopt;
    StageCall call = MakeCall(endpoint, jobs, now);
    if (!call.pieces.empty())
      return call;
  }
  return std::nullopt;
}

// Results differ in size, and only their mean is known: the part of the room
// that is filled shrinks with each refusal for room and grows again slowly. An
// empty endpoint takes one piece in any case.
bool StageDispatcher::HasRoomFor(const PieceEndpoint& endpoint,
                                 uint64_t bytes) const {
  const uint64_t used = endpoint.room().used_bytes();
  const double usable = usable_room_ * static_cast<double>(limits_.room_bytes);
  return used == 0 || static_cast<double>(used + bytes) <= usable;
}

// One piece finds out whether an endpoint that failed is back, or one of a zone
// in which another can't be reached.
size_t StageDispatcher::PiecesFor(const PieceEndpoint& endpoint) const {
  const bool needs_probe = endpoint.needs_probe() ||
                           unreachable_zones_.contains(endpoint.listed().zone);
  return needs_probe ? 1 : limits_.pieces_per_call;
}

// Pieces that would carry much across zones are made in their reader's zone as
// long as that can be done on time.
bool StageDispatcher::MayTake(const PieceEndpoint& endpoint,
                              const Job& job,
                              base::Duration queue_time,
                              base::TimePoint now) const {
  const base::ZoneName& zone = job.job.reader_zone;
  if (zone.value.empty() || zone == endpoint.listed().zone ||
      job.job.cross_zone_bytes < kManyCrossingBytes)
    return true;
  const auto begins = NextTurnIn(zone, now);
  if (!begins)
    return true;
  // What waits goes before it, and one more turn in case that call is full.
  const base::Duration needed =
      queue_time + CallTime(limits_.pieces_per_call) * 2 + job.job.time_after;
  return *begins + needed > job.target;
}

// When an endpoint of the zone can be called next; empty when it has none.
std::optional<base::TimePoint> StageDispatcher::NextTurnIn(
    const base::ZoneName& zone,
    base::TimePoint now) const {
  std::optional<base::TimePoint> next;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.listed().zone != zone || !endpoint.is_serving())
      continue;
    const base::TimePoint turn = endpoint.NextTurn(limits_.calls_at_once, now);
    if (!next || turn < *next)
      next = turn;
  }
  return next;
}

StageCall StageDispatcher::MakeCall(PieceEndpoint& endpoint,
                                    const OrderedJobs& ordered,
                                    base::TimePoint now) {
  StageCall call;
  Call record;
  size_t on_time_pieces = 0;
  for (size_t i = 0; i < ordered.jobs.size(); ++i) {
    const auto& [id, job] = ordered.jobs[i];
    if (!MayTake(endpoint, *job, ordered.queue_time, now))
      continue;
    TakePieces(endpoint, id, *job, call, record, now);
    if (i < ordered.on_time)
      on_time_pieces = call.pieces.size();
    if (call.pieces.size() >= PiecesFor(endpoint))
      break;
  }
  if (call.pieces.empty())
    return call;
  call.id = StageCallId{++last_call_};
  call.endpoint = endpoint.listed().name;
  call.incarnation = endpoint.listed().incarnation;
  call.address = endpoint.listed().address;
  const base::Duration expected = CallTime(call.pieces.size());
  call.timeout = expected * kCallPatience + kCallSlack;
  record.endpoint = call.endpoint;
  record.address = call.address;
  endpoint.NoteCalled(now, now + expected);
  call.room_percent =
      static_cast<uint32_t>(kPercent * endpoint.room().used_bytes() /
                            std::max<uint64_t>(limits_.room_bytes, 1));
  call.usable_percent = static_cast<uint32_t>(kPercent * usable_room_);
  const size_t waiting = waiting_pieces();
  call.waiting_pieces = static_cast<uint32_t>(waiting);
  NoteFullness(call.pieces.size(), on_time_pieces, waiting);
  calls_.emplace(call.id, std::move(record));
  return call;
}

void StageDispatcher::TakePieces(PieceEndpoint& endpoint,
                                 JobId id,
                                 Job& job,
                                 StageCall& call,
                                 Call& record,
                                 base::TimePoint now) {
  const uint64_t bytes = job.job.result_bytes;
  while (!job.waiting.empty() && call.pieces.size() < PiecesFor(endpoint) &&
         HasRoomFor(endpoint, bytes)) {
    const uint32_t piece = job.waiting.front();
    job.waiting.erase(job.waiting.begin());
    endpoint.room().Reserve(bytes);
    record.pieces.push_back({id, piece, bytes});
    call.pieces.push_back({job.job.request_id, job.job.stage, piece,
                           job.deadline - now - job.job.time_after,
                           job.job.input});
    if (job.repeats == 0)
      repeats_.NoteFirstTry();
  }
}

AnswerMatch StageDispatcher::FinishCall(StageCallId id,
                                        const StageCallOutcome& outcome,
                                        base::TimePoint now) {
  latest_ = now;
  const auto node = calls_.extract(id);
  if (node.empty())
    return AnswerMatch::kMatched;
  const Call& call = node.mapped();
  PieceEndpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr) {
    endpoint->NoteCallEnded();
    for (const CalledPiece& piece : call.pieces)
      endpoint->room().Release(piece.result_bytes);
  }
  if (const auto* failure = std::get_if<StageCallFailure>(&outcome)) {
    NoteCallFailed(call, *failure, now);
    return *failure == StageCallFailure::kMalformed ? AnswerMatch::kMismatched
                                                    : AnswerMatch::kMatched;
  }
  const auto& pieces = std::get<std::vector<PieceOutcome>>(outcome);
  const bool is_own =
      pieces.size() == call.pieces.size() &&
      (endpoint == nullptr ||
       endpoint->named_results().Add(pieces, now, limits_.result_life));
  if (!is_own) {
    NoteCallFailed(call, StageCallFailure::kMalformed, now);
    return AnswerMatch::kMismatched;
  }
  TakePieceOutcomes(call, pieces, now);
  return AnswerMatch::kMatched;
}

void StageDispatcher::TakePieceOutcomes(const Call& call,
                                        const std::vector<PieceOutcome>& pieces,
                                        base::TimePoint now) {
  PieceEndpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr) {
    endpoint->NoteAnswered();
    unreachable_zones_.erase(endpoint->listed().zone);
  }
  usable_room_ = std::min(usable_room_ + kRoomGrowth, kMostUsableRoom);
  bool found_no_room = false;
  for (size_t i = 0; i < pieces.size(); ++i) {
    const CalledPiece& piece = call.pieces[i];
    if (const auto* handle = std::get_if<std::string>(&pieces[i])) {
      NoteMade(call, piece, *handle, now);
      continue;
    }
    const auto refusal = std::get<PieceRefusal>(pieces[i]);
    found_no_room = found_no_room || refusal == PieceRefusal::kNoRoom;
    NoteRefused(piece, refusal);
  }
  if (!found_no_room)
    return;
  // Once a call, since all its pieces found the same room.
  usable_room_ = std::max(usable_room_ * kRoomShrink, kLeastUsableRoom);
  if (endpoint != nullptr)
    endpoint->NoteFull(now);
}

void StageDispatcher::NoteCallFailed(const Call& call,
                                     StageCallFailure failure,
                                     base::TimePoint now) {
  if (PieceEndpoint* endpoint = FindEndpoint(call.endpoint)) {
    if (failure == StageCallFailure::kNotRun)
      endpoint->NoteFull(now);
    else
      endpoint->NoteFailed(now);
    if (failure == StageCallFailure::kUnreachable)
      unreachable_zones_.insert(endpoint->listed().zone);
  }
  for (const CalledPiece& piece : call.pieces) {
    if (failure == StageCallFailure::kUnreachable)
      PutBack(piece);
    else
      RepeatPiece(piece);
  }
}

// What never arrived is no repeat; its deadline bounds how often it is tried.
void StageDispatcher::PutBack(const CalledPiece& piece) {
  const auto it = jobs_.find(piece.job);
  if (it != jobs_.end())
    it->second.waiting.insert(it->second.waiting.begin(), piece.piece);
}

void StageDispatcher::NoteMade(const Call& call,
                               const CalledPiece& piece,
                               const std::string& handle,
                               base::TimePoint now) {
  PieceEndpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr)
    endpoint->room().Add(handle, piece.result_bytes, now + limits_.result_life);
  const auto it = jobs_.find(piece.job);
  if (it == jobs_.end()) {
    if (endpoint != nullptr)
      endpoint->ScheduleFree(handle, now);
    return;
  }
  Job& job = it->second;
  job.handles[piece.piece] = handle;
  job.makers[piece.piece] = call.address;
  if (++job.made < job.job.piece_count)
    return;
  JobResults results;
  for (size_t i = 0; i < job.handles.size(); ++i)
    results.results.push_back({job.makers[i], job.handles[i]});
  outcomes_.emplace_back(piece.job, std::move(results));
  jobs_.erase(it);
}

void StageDispatcher::NoteRefused(const CalledPiece& piece,
                                  PieceRefusal refusal) {
  switch (refusal) {
    case PieceRefusal::kLate:
      FailTooLate(piece.job, latest_);
      return;
    case PieceRefusal::kInputGone:
      Fail(piece.job, {JobFailureKind::kInputGone, kShortestRetry});
      return;
    case PieceRefusal::kNoRoom:
    case PieceRefusal::kError:
      RepeatPiece(piece);
      return;
  }
}

void StageDispatcher::RepeatPiece(const CalledPiece& piece) {
  const auto it = jobs_.find(piece.job);
  if (it == jobs_.end())
    return;
  Job& job = it->second;
  if (job.repeats >= kMaxRepeats * job.job.piece_count || !repeats_.TryTake()) {
    Fail(piece.job, {JobFailureKind::kFailed, kNoEndpointRetry});
    return;
  }
  ++job.repeats;
  PutBack(piece);
}

void StageDispatcher::Fail(JobId id, JobFailure failure) {
  const auto node = jobs_.extract(id);
  if (node.empty())
    return;
  FreeMade(node.mapped());
  outcomes_.emplace_back(id, failure);
}

void StageDispatcher::FreeMade(const Job& job) {
  for (size_t i = 0; i < job.handles.size(); ++i) {
    if (job.handles[i].empty())
      continue;
    if (PieceEndpoint* endpoint = FindByAddress(job.makers[i]))
      endpoint->ScheduleFree(job.handles[i], latest_);
  }
}

void StageDispatcher::Free(std::span<const StageResult> results,
                           base::TimePoint now) {
  latest_ = now;
  for (const StageResult& result : results) {
    if (PieceEndpoint* endpoint = FindByAddress(result.maker))
      endpoint->ScheduleFree(result.handle, now);
  }
}

std::vector<FreeRequest> StageDispatcher::TakeFreeOrders(base::TimePoint now) {
  std::vector<FreeRequest> orders;
  for (auto& [name, endpoint] : endpoints_) {
    if (auto order = endpoint.TakeFreeOrder(now))
      orders.push_back(std::move(*order));
  }
  return orders;
}

void StageDispatcher::NoteFreed(const FreeRequest& order) {
  PieceEndpoint* endpoint = FindEndpoint(order.endpoint);
  if (endpoint == nullptr)
    return;
  for (const std::string& handle : order.handles)
    endpoint->room().Remove(handle);
}

std::optional<base::TimePoint> StageDispatcher::NextWakeup() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint time) {
    if (!next || time < *next)
      next = time;
  };
  const bool is_waiting = waiting_pieces() > 0;
  for (const auto& [name, endpoint] : endpoints_) {
    const auto change =
        endpoint.NextChange(is_waiting, limits_.calls_at_once, latest_);
    if (change)
      consider(*change);
  }
  for (const auto& [id, job] : jobs_) {
    if (!job.waiting.empty())
      consider(LapseOf(job));
  }
  return next;
}

base::Duration StageDispatcher::Backlog(base::TimePoint now) const {
  const PoolThroughput pace = PaceAt(now);
  return pace.next_turn - now + pace.TimeFor(waiting_pieces());
}

size_t StageDispatcher::waiting_pieces() const {
  size_t n = 0;
  for (const auto& [id, job] : jobs_)
    n += job.waiting.size();
  return n;
}

size_t StageDispatcher::ServingCount() const {
  return static_cast<size_t>(std::ranges::count_if(
      endpoints_, [](const auto& it) { return it.second.is_serving(); }));
}

bool StageDispatcher::IsOpen(const base::EndpointName& name,
                             base::TimePoint now) const {
  return conditions_.backoffs.EndOf(name) <= now;
}

size_t StageDispatcher::OpenCount(base::TimePoint now) const {
  return static_cast<size_t>(
      std::ranges::count_if(endpoints_, [&](const auto& it) {
        return it.second.is_serving() && IsOpen(it.first, now);
      }));
}

PieceEndpoint* StageDispatcher::FindEndpoint(const base::EndpointName& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

PieceEndpoint* StageDispatcher::FindByAddress(
    const base::SocketAddress& address) {
  const auto it = std::ranges::find_if(endpoints_, [&](const auto& it) {
    return it.second.listed().address == address;
  });
  return it == endpoints_.end() ? nullptr : &it->second;
}

}  // namespace bilberry::forward
