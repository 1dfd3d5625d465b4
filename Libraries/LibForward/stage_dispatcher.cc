#include "LibForward/stage_dispatcher.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// Maximum number of retries per piece, as an average over a job.
constexpr uint32_t kMaxRetries = 2;
// The number of failed calls whose pieces the retry budget covers from the
// start.
constexpr uint32_t kInitialBudgetCalls = 2;
// A call times out after this many times its expected duration plus a slack for
// fetching inputs and for the network.
constexpr int kCallTimeoutFactor = 3;
constexpr std::chrono::milliseconds kCallTimeoutSlack{400};
// The usable fraction of an endpoint's memory. It shrinks by the factor
// kUsableMemoryShrink after a call with pieces that were refused for lack of
// memory, but not below the minimum, and grows by kUsableMemoryGrowth with each
// answered call.
constexpr double kUsableMemoryShrink = 0.95;
constexpr double kMinUsableMemory = 0.6;
// Above 1, because results may be smaller than declared and other results are
// freed during a call.
constexpr double kMaxUsableMemory = 1.3;
constexpr double kUsableMemoryGrowth = 0.005;
// Pieces with at least this much cross-zone traffic are produced in their
// reader's zone.
constexpr uint64_t kLargeCrossZoneBytes = 300'000;
// A piece's inputs must still exist when it is produced. The first of them may
// have been produced this long before the last.
constexpr std::chrono::milliseconds kFetchMargin{500};
// Retry delay for callers while a pool has no endpoints.
constexpr std::chrono::milliseconds kNoEndpointRetryDelay{1000};
constexpr std::chrono::milliseconds kMinRetryDelay{100};

// The pieces of a request that may have crashed this many endpoints, of any
// pool, get calls of their own.
constexpr size_t kCrashesToIsolate = 2;

constexpr uint64_t kPercent = 100;
// Weight of one call in the moving averages of call load.
constexpr double kFullnessWeight = 0.1;

}  // namespace

// The initial budget covers full calls, because a failed call may hold a full
// load of pieces that all have to be retried once.
StageDispatcher::StageDispatcher(PieceLimits limits,
                                 EndpointConditions& conditions)
    : limits_(limits),
      conditions_(conditions),
      retry_budget_(kInitialBudgetCalls * limits.pieces_per_call) {}

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
  last_time_ = now;
  const JobId id{++last_job_};
  Job record;
  record.target = now + std::min(job.until_target, job.until_deadline);
  record.deadline = now + job.until_deadline;
  record.inputs_expire = job.until_inputs_expire
                             ? now + *job.until_inputs_expire
                             : base::TimePoint::max();
  record.handles.resize(job.piece_count);
  record.producers.resize(job.piece_count);
  for (uint32_t i = 0; i < job.piece_count; ++i)
    record.waiting.push_back(i);
  record.job = std::move(job);
  if (ServingCount() == 0) {
    outcomes_.emplace_back(
        id, JobFailure{JobFailureKind::kNoEndpoint, kNoEndpointRetryDelay});
    return id;
  }
  if (conditions_.crashes.IsQuarantined(record.job.digest, now)) {
    outcomes_.emplace_back(
        id, JobFailure{JobFailureKind::kFailed, policy::kQuarantinePeriod});
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
    FreeResultsOf(node.mapped());
}

std::vector<std::pair<JobId, JobOutcome>> StageDispatcher::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

base::Duration StageDispatcher::CallTime(size_t pieces) const {
  const size_t in_call = std::min<size_t>(pieces, limits_.pieces_per_call);
  return limits_.call_time + limits_.piece_time * in_call;
}

PoolThroughput StageDispatcher::ThroughputAt(base::TimePoint now) const {
  PoolThroughput throughput;
  throughput.next_turn = base::TimePoint::max();
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.is_serving())
      throughput.next_turn = std::min(
          throughput.next_turn, endpoint.NextTurn(limits_.calls_at_once, now));
  }
  if (throughput.next_turn == base::TimePoint::max())
    throughput.next_turn = now;
  throughput.round_time = CallTime(limits_.pieces_per_call);
  throughput.pieces_per_round = std::max(
      static_cast<uint32_t>(CallsPerRound(throughput.round_time, now) *
                            static_cast<double>(limits_.pieces_per_call)),
      1U);
  throughput.fullness = fullness_;
  throughput.left_for_late = left_for_late_;
  return throughput;
}

// If all endpoints have a backoff, all of them count: the estimate is then
// about the time after it.
double StageDispatcher::CallsPerRound(base::Duration round,
                                      base::TimePoint now) const {
  const bool is_any_available = AvailableCount(now) > 0;
  double calls = 0;
  for (const auto& [name, endpoint] : endpoints_) {
    if (!endpoint.is_serving() || (is_any_available && !IsAvailable(name, now)))
      continue;
    calls += endpoint.CallsPerRound(limits_.calls_at_once, round);
  }
  return calls;
}

// Only a call that leaves pieces waiting shows what the pool can do. Other
// calls let the average return to 1.
void StageDispatcher::NoteFullness(size_t pieces,
                                   size_t on_time_pieces,
                                   size_t waiting) {
  // Limits without a call time allow no estimate.
  if (CallTime(1) <= base::Duration(0) || limits_.pieces_per_call == 0)
    return;
  const double full =
      static_cast<double>(limits_.pieces_per_call) /
      static_cast<double>(CallTime(limits_.pieces_per_call).count());
  const double rate = static_cast<double>(pieces) /
                      static_cast<double>(CallTime(pieces).count());
  const double sample = waiting > 0 ? rate / full : 1;
  fullness_ += kFullnessWeight * (sample - fullness_);
  const size_t could_take = waiting > 0 ? pieces : limits_.pieces_per_call;
  const double left =
      1 - static_cast<double>(on_time_pieces) / static_cast<double>(could_take);
  left_for_late_ += kFullnessWeight * (left - left_for_late_);
}

QueuedJob StageDispatcher::QueuedJobOf(JobId id, const Job& job) const {
  return {id,
          job.job.pipeline,
          job.job.urgency,
          job.target,
          CallTime(job.waiting.size()) + job.job.time_after,
          static_cast<uint32_t>(job.waiting.size()),
          job.job.progress};
}

ServiceOrder StageDispatcher::OrderAt(const PoolThroughput& throughput) const {
  std::vector<QueuedJob> queued;
  for (const auto& [id, job] : jobs_) {
    if (!job.waiting.empty())
      queued.push_back(QueuedJobOf(id, job));
  }
  return OrderOfService(std::move(queued), throughput);
}

// A job is refused on arrival if it can be served neither on time nor, behind
// the on-time jobs, before its deadline and before its inputs expire.
std::optional<JobFailure> StageDispatcher::RefusalOf(JobId id,
                                                     const Job& job,
                                                     base::TimePoint now) {
  const PoolThroughput throughput = ThroughputAt(now);
  const ServiceOrder order = OrderAt(throughput);
  // A request that has run no stage yet has cost nothing, so it is refused
  // rather than queued while all endpoints have a backoff.
  if (AvailableCount(now) == 0 && job.job.progress == RequestProgress::kNew)
    return MakeTooLateFailure(job, order, throughput, now);
  const QueuedJob queued = QueuedJobOf(id, job);
  if (now + ExpectedWaitOnTime(queued, order, throughput, now) +
          queued.needed <=
      job.target)
    return std::nullopt;
  const base::Duration wait = ExpectedLateWait(order, throughput, now);
  if (now + wait + queued.needed <= job.deadline &&
      now + wait + kFetchMargin <= job.inputs_expire)
    return std::nullopt;
  return MakeTooLateFailure(job, order, throughput, now);
}

JobFailure StageDispatcher::MakeTooLateFailure(const Job& job,
                                               const ServiceOrder& order,
                                               const PoolThroughput& throughput,
                                               base::TimePoint now) {
  const base::Duration wait = ReserveRetrySlot(
      order, throughput, now, job.job.piece_count, retry_slots_end_);
  return {JobFailureKind::kTooLate,
          std::max<base::Duration>(wait, kMinRetryDelay)};
}

void StageDispatcher::FailTooLate(JobId id, base::TimePoint now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end())
    return;
  const PoolThroughput throughput = ThroughputAt(now);
  Fail(id,
       MakeTooLateFailure(it->second, OrderAt(throughput), throughput, now));
}

// The time after which a job with waiting pieces can't succeed any more.
base::TimePoint StageDispatcher::ExpiryOf(const Job& job) const {
  const base::TimePoint too_late =
      job.deadline - job.job.time_after - CallTime(1) + base::Duration(1);
  return std::min(too_late, job.inputs_expire - kFetchMargin);
}

void StageDispatcher::FailExpired(base::TimePoint now) {
  std::vector<JobId> expired;
  for (const auto& [id, job] : jobs_) {
    if (!job.waiting.empty() && now >= ExpiryOf(job))
      expired.push_back(id);
  }
  for (const JobId id : expired)
    FailTooLate(id, now);
}

StageDispatcher::OrderedJobs StageDispatcher::JobsInOrder(base::TimePoint now) {
  const PoolThroughput throughput = ThroughputAt(now);
  const ServiceOrder order = OrderAt(throughput);
  OrderedJobs ordered;
  ordered.queue_time = throughput.TimeFor(waiting_pieces());
  ordered.on_time = order.on_time.size();
  for (const QueuedJob& it : order.on_time)
    ordered.jobs.emplace_back(it.id, &jobs_.at(it.id));
  for (const QueuedJob& it : order.late)
    ordered.jobs.emplace_back(it.id, &jobs_.at(it.id));
  return ordered;
}

// Endpoints at which work takes equally long keep the order of their names.
std::vector<PieceEndpoint*> StageDispatcher::IdleEndpoints(
    base::TimePoint now) {
  std::vector<std::pair<double, PieceEndpoint*>> idle;
  for (auto& [name, endpoint] : endpoints_) {
    endpoint.held_results().DropExpired(now);
    if (endpoint.IsIdle(limits_.calls_at_once, now))
      idle.emplace_back(endpoint.WorkFactor(now), &endpoint);
  }
  std::ranges::stable_sort(idle, {}, [](const auto& it) { return it.first; });
  std::vector<PieceEndpoint*> endpoints;
  endpoints.reserve(idle.size());
  for (const auto& [factor, endpoint] : idle)
    endpoints.push_back(endpoint);
  return endpoints;
}

std::optional<StageCall> StageDispatcher::NextCall(base::TimePoint now) {
  last_time_ = now;
  if (jobs_.empty())
    return std::nullopt;
  FailExpired(now);
  OrderedJobs jobs;
  for (PieceEndpoint* endpoint : IdleEndpoints(now)) {
    if (jobs.jobs.empty())
      jobs = JobsInOrder(now);
    if (jobs.jobs.empty())
      return std::nullopt;
    StageCall call = MakeCall(*endpoint, jobs, now);
    if (!call.pieces.empty())
      return call;
  }
  return std::nullopt;
}

// Results differ in size, and only their average is known: the usable fraction
// of the memory shrinks with each refusal for lack of memory and grows again
// slowly. An empty endpoint takes one piece in any case.
bool StageDispatcher::HasMemoryFor(const PieceEndpoint& endpoint,
                                   uint64_t bytes) const {
  const uint64_t used = endpoint.held_results().used_bytes();
  const double usable =
      usable_memory_ * static_cast<double>(limits_.memory_bytes);
  return used == 0 || static_cast<double>(used + bytes) <= usable;
}

// Sends a single piece to test an endpoint that has failed, or one in a zone
// with an unreachable endpoint.
size_t StageDispatcher::PiecesFor(const PieceEndpoint& endpoint) const {
  const bool needs_probe = endpoint.needs_probe() ||
                           unreachable_zones_.contains(endpoint.listed().zone);
  return needs_probe ? 1 : limits_.pieces_per_call;
}

// A crash elsewhere alone is no reason to give a call to one job: many requests
// are suspects of each crash.
bool StageDispatcher::IsSuspect(const Job& job) const {
  const size_t crashes = conditions_.crashes.CrashCountOf(job.job.digest);
  return crashes >= kCrashesToIsolate || (crashes > 0 && job.retries > 0);
}

bool StageDispatcher::IsUndecided(const Job& job, base::TimePoint now) const {
  return conditions_.crashes.UndecidedUntil(job.job.digest, now).has_value();
}

// Pieces with much cross-zone traffic are produced in their reader's zone as
// long as they can be on time there.
bool StageDispatcher::MayTake(const PieceEndpoint& endpoint,
                              const Job& job,
                              base::Duration queue_time,
                              base::TimePoint now) const {
  const base::ZoneName& zone = job.job.reader_zone;
  if (zone.value.empty() || zone == endpoint.listed().zone ||
      job.job.cross_zone_bytes < kLargeCrossZoneBytes)
    return true;
  const auto begins = NextTurnIn(zone, now);
  if (!begins)
    return true;
  // The piece queues behind all waiting ones; one more call is added in case
  // its call is full.
  const base::Duration needed =
      queue_time + CallTime(limits_.pieces_per_call) * 2 + job.job.time_after;
  return *begins + needed > job.target;
}

// When an endpoint of the zone can be called next; empty if the zone has none.
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
    if (!MayTake(endpoint, *job, ordered.queue_time, now) ||
        IsUndecided(*job, now))
      continue;
    const bool is_suspect = IsSuspect(*job);
    if (is_suspect && !call.pieces.empty())
      continue;
    TakePieces(endpoint, id, *job, call, record, now);
    if (i < ordered.on_time)
      on_time_pieces = call.pieces.size();
    const bool is_alone = is_suspect && !call.pieces.empty();
    if (is_alone || call.pieces.size() >= PiecesFor(endpoint))
      break;
  }
  if (call.pieces.empty())
    return call;
  call.id = StageCallId{++last_call_};
  call.endpoint = endpoint.listed().name;
  call.incarnation = endpoint.listed().incarnation;
  call.address = endpoint.listed().address;
  const base::Duration usual = CallTime(call.pieces.size());
  const base::Duration expected = std::chrono::duration_cast<base::Duration>(
      usual * endpoint.WorkFactor(now));
  // Work may return to its usual pace at any moment, so a low factor doesn't
  // shorten the timeout.
  call.timeout =
      std::max(usual, expected) * kCallTimeoutFactor + kCallTimeoutSlack;
  record.endpoint = call.endpoint;
  record.address = call.address;
  endpoint.NoteCalled(now, now + expected);
  call.used_percent =
      static_cast<uint32_t>(kPercent * endpoint.held_results().used_bytes() /
                            std::max<uint64_t>(limits_.memory_bytes, 1));
  call.usable_percent = static_cast<uint32_t>(kPercent * usable_memory_);
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
         HasMemoryFor(endpoint, bytes)) {
    const uint32_t piece = job.waiting.front();
    job.waiting.erase(job.waiting.begin());
    endpoint.held_results().Reserve(bytes);
    record.pieces.push_back({id, piece, bytes});
    call.pieces.push_back({job.job.request_id, job.job.digest, job.job.stage,
                           piece, job.deadline - now - job.job.time_after,
                           job.job.input});
    if (job.retries == 0)
      retry_budget_.NoteFirstAttempt();
  }
}

AnswerMatch StageDispatcher::FinishCall(StageCallId id,
                                        const StageCallOutcome& outcome,
                                        base::TimePoint now) {
  last_time_ = now;
  const auto node = calls_.extract(id);
  if (node.empty())
    return AnswerMatch::kMatched;
  const Call& call = node.mapped();
  PieceEndpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr) {
    endpoint->NoteCallEnded();
    for (const CalledPiece& piece : call.pieces)
      endpoint->held_results().Release(piece.result_bytes);
  }
  if (const auto* failure = std::get_if<StageCallFailure>(&outcome)) {
    NoteCallFailed(call, *failure, now);
    return *failure == StageCallFailure::kMalformed ? AnswerMatch::kMismatched
                                                    : AnswerMatch::kMatched;
  }
  const auto& pieces = std::get<std::vector<PieceOutcome>>(outcome);
  const bool is_matched =
      pieces.size() == call.pieces.size() &&
      (endpoint == nullptr ||
       endpoint->seen_handles().Add(pieces, now, limits_.result_life));
  if (!is_matched) {
    NoteCallFailed(call, StageCallFailure::kMalformed, now);
    return AnswerMatch::kMismatched;
  }
  ApplyPieceOutcomes(call, pieces, now);
  return AnswerMatch::kMatched;
}

void StageDispatcher::ApplyPieceOutcomes(
    const Call& call,
    const std::vector<PieceOutcome>& pieces,
    base::TimePoint now) {
  PieceEndpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr) {
    endpoint->NoteAnswered();
    unreachable_zones_.erase(endpoint->listed().zone);
  }
  usable_memory_ =
      std::min(usable_memory_ + kUsableMemoryGrowth, kMaxUsableMemory);
  bool found_no_memory = false;
  for (size_t i = 0; i < pieces.size(); ++i) {
    const CalledPiece& piece = call.pieces[i];
    if (const auto* handle = std::get_if<std::string>(&pieces[i])) {
      NotePieceDone(call, piece, *handle, now);
      continue;
    }
    const auto refusal = std::get<PieceRefusal>(pieces[i]);
    found_no_memory = found_no_memory || refusal == PieceRefusal::kNoMemory;
    NoteRefused(piece, refusal);
  }
  if (!found_no_memory)
    return;
  // Once per call, since all its pieces met the same lack of memory.
  usable_memory_ =
      std::max(usable_memory_ * kUsableMemoryShrink, kMinUsableMemory);
  if (endpoint != nullptr)
    endpoint->NoteOverloaded(now);
}

void StageDispatcher::NoteCallFailed(const Call& call,
                                     StageCallFailure failure,
                                     base::TimePoint now) {
  if (PieceEndpoint* endpoint = FindEndpoint(call.endpoint)) {
    if (failure == StageCallFailure::kNotRun)
      endpoint->NoteOverloaded(now);
    else
      endpoint->NoteFailed(now);
    if (failure == StageCallFailure::kUnreachable)
      unreachable_zones_.insert(endpoint->listed().zone);
  }
  for (const CalledPiece& piece : call.pieces) {
    if (failure == StageCallFailure::kUnreachable)
      PutBack(piece);
    else
      RetryPiece(piece);
  }
}

// A piece that never reached an endpoint doesn't count as a retry. The job's
// deadline bounds the number of attempts.
void StageDispatcher::PutBack(const CalledPiece& piece) {
  const auto it = jobs_.find(piece.job);
  if (it != jobs_.end())
    it->second.waiting.insert(it->second.waiting.begin(), piece.piece);
}

void StageDispatcher::NotePieceDone(const Call& call,
                                    const CalledPiece& piece,
                                    const std::string& handle,
                                    base::TimePoint now) {
  PieceEndpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr)
    endpoint->held_results().Add(handle, piece.result_bytes,
                                 now + limits_.result_life);
  const auto it = jobs_.find(piece.job);
  if (it == jobs_.end()) {
    if (endpoint != nullptr)
      endpoint->ScheduleFree(handle, now);
    return;
  }
  Job& job = it->second;
  job.handles[piece.piece] = handle;
  job.producers[piece.piece] = call.address;
  if (++job.produced_count < job.job.piece_count)
    return;
  JobResults results;
  for (size_t i = 0; i < job.handles.size(); ++i)
    results.results.push_back({job.producers[i], job.handles[i]});
  outcomes_.emplace_back(piece.job, std::move(results));
  jobs_.erase(it);
}

void StageDispatcher::NoteRefused(const CalledPiece& piece,
                                  PieceRefusal refusal) {
  switch (refusal) {
    case PieceRefusal::kLate:
      FailTooLate(piece.job, last_time_);
      return;
    case PieceRefusal::kInputGone:
      Fail(piece.job, {JobFailureKind::kInputGone, kMinRetryDelay});
      return;
    case PieceRefusal::kNoMemory:
    case PieceRefusal::kError:
      RetryPiece(piece);
      return;
  }
}

void StageDispatcher::RetryPiece(const CalledPiece& piece) {
  const auto it = jobs_.find(piece.job);
  if (it == jobs_.end())
    return;
  Job& job = it->second;
  if (job.retries >= kMaxRetries * job.job.piece_count ||
      conditions_.crashes.IsQuarantined(job.job.digest, last_time_) ||
      !retry_budget_.TryTake()) {
    Fail(piece.job, {JobFailureKind::kFailed, kNoEndpointRetryDelay});
    return;
  }
  ++job.retries;
  PutBack(piece);
}

void StageDispatcher::Fail(JobId id, JobFailure failure) {
  const auto node = jobs_.extract(id);
  if (node.empty())
    return;
  FreeResultsOf(node.mapped());
  outcomes_.emplace_back(id, failure);
}

void StageDispatcher::FreeResultsOf(const Job& job) {
  for (size_t i = 0; i < job.handles.size(); ++i) {
    if (job.handles[i].empty())
      continue;
    if (PieceEndpoint* endpoint = FindByAddress(job.producers[i]))
      endpoint->ScheduleFree(job.handles[i], last_time_);
  }
}

void StageDispatcher::Free(std::span<const StageResult> results,
                           base::TimePoint now) {
  last_time_ = now;
  for (const StageResult& result : results) {
    if (PieceEndpoint* endpoint = FindByAddress(result.producer))
      endpoint->ScheduleFree(result.handle, now);
  }
}

std::vector<FreeRequest> StageDispatcher::TakeFreeRequests(
    base::TimePoint now) {
  std::vector<FreeRequest> requests;
  for (auto& [name, endpoint] : endpoints_) {
    if (auto request = endpoint.TakeFreeRequest(now))
      requests.push_back(std::move(*request));
  }
  return requests;
}

void StageDispatcher::NoteFreed(const FreeRequest& request) {
  PieceEndpoint* endpoint = FindEndpoint(request.endpoint);
  if (endpoint == nullptr)
    return;
  for (const std::string& handle : request.handles)
    endpoint->held_results().Remove(handle);
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
        endpoint.NextChange(is_waiting, limits_.calls_at_once, last_time_);
    if (change)
      consider(*change);
  }
  for (const auto& [id, job] : jobs_) {
    if (job.waiting.empty())
      continue;
    consider(ExpiryOf(job));
    if (const auto until =
            conditions_.crashes.UndecidedUntil(job.job.digest, last_time_))
      consider(*until);
  }
  return next;
}

base::Duration StageDispatcher::Backlog(base::TimePoint now) const {
  const PoolThroughput throughput = ThroughputAt(now);
  return throughput.next_turn - now + throughput.TimeFor(waiting_pieces());
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

bool StageDispatcher::IsAvailable(const base::EndpointName& name,
                                  base::TimePoint now) const {
  return conditions_.backoffs.EndOf(name) <= now;
}

size_t StageDispatcher::AvailableCount(base::TimePoint now) const {
  return static_cast<size_t>(
      std::ranges::count_if(endpoints_, [&](const auto& it) {
        return it.second.is_serving() && IsAvailable(it.first, now);
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
