#include "LibForward/stage_dispatcher.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

// A piece that endpoints failed is asked for again this often at the most.
constexpr uint32_t kMaxRepeats = 2;
// How long an endpoint that failed a call gets none: doubled by each failure in
// a row, up to the longest.
constexpr std::chrono::milliseconds kFirstRest{100};
constexpr std::chrono::milliseconds kLongestRest{3200};
// Failed calls whose pieces can be asked for again before the budget has to be
// earned.
constexpr uint32_t kSavedCalls = 2;
// So many failed calls in a row are the endpoint's fault.
constexpr uint32_t kFailuresToProbe = 2;
// How long an endpoint without room, or that is full, gets no call.
constexpr std::chrono::milliseconds kFullRest{30};
// A call is given up after this many times what it should take, and what
// fetching its inputs and the way there may take.
constexpr int kCallPatience = 3;
constexpr std::chrono::milliseconds kCallSlack{400};
// The usable part of an endpoint's room after a piece was refused for room, at
// the least, and what each call adds to it.
constexpr double kRoomShrink = 0.95;
constexpr double kLeastUsableRoom = 0.6;
constexpr double kRoomGrowth = 0.005;
// Small results are freed together, after at most this time.
constexpr std::chrono::milliseconds kFreeDelay{10};
// Results of this size are freed at once, since they take a noticeable part of
// an endpoint's room; and pieces that carry so much are made in their zone.
constexpr uint64_t kLargeBytes = 400'000;
// When a pool without endpoints is to be tried again.
constexpr std::chrono::milliseconds kNoEndpointRetry{1000};
constexpr std::chrono::milliseconds kShortestRetry{100};

}  // namespace

// A call that fails may take a full load of pieces with it, which are all to be
// tried once more.
StageDispatcher::StageDispatcher(PieceLimits limits)
    : limits_(limits), repeats_(kSavedCalls * limits.pieces_per_call) {}

void StageDispatcher::SetEndpoints(std::span<const ListedEndpoint> endpoints) {
  std::map<base::EndpointName, Endpoint> present;
  for (const ListedEndpoint& listed : endpoints) {
    auto node = endpoints_.extract(listed.name);
    Endpoint& endpoint = present[listed.name];
    if (!node.empty())
      endpoint = std::move(node.mapped());
    endpoint.listed = listed;
  }
  endpoints_ = std::move(present);
}

JobId StageDispatcher::Submit(StageJob job, base::TimePoint now) {
  latest_ = now;
  const JobId id{++last_job_};
  Job record;
  record.target = now + job.until_target;
  record.deadline = now + job.until_deadline;
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
  const base::Duration wait = WaitFor(record, now);
  const base::Duration needed =
      wait + CallTime(record.waiting.size()) + record.job.time_after;
  if (record.job.progress == RequestProgress::kNew &&
      now + needed > record.deadline) {
    outcomes_.emplace_back(
        id, JobFailure{JobFailureKind::kTooLate,
                       std::max<base::Duration>(wait, kShortestRetry)});
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

bool StageDispatcher::IsIdle(const Endpoint& endpoint,
                             base::TimePoint now) const {
  return endpoint.listed.state == EndpointState::kServing &&
         endpoint.calls < limits_.calls_at_once && endpoint.rests_until <= now;
}

base::Duration StageDispatcher::CallTime(size_t pieces) const {
  const size_t in_call = std::min<size_t>(pieces, limits_.pieces_per_call);
  return limits_.call_time + limits_.piece_time * in_call;
}

// Until a job that comes now has its turn: what waits before it, in full calls
// over all endpoints, after the calls that are under way.
base::Duration StageDispatcher::WaitFor(const Job& job,
                                        base::TimePoint now) const {
  size_t ahead = 0;
  for (const auto& [id, other] : jobs_) {
    if (!GoesBefore(job, other, now))
      ahead += other.waiting.size();
  }
  base::Duration until_idle = base::Duration::max();
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.listed.state != EndpointState::kServing)
      continue;
    const bool is_idle = IsIdle(endpoint, now);
    until_idle = std::min(
        until_idle,
        is_idle ? base::Duration(0)
                : std::max(base::Duration(0), endpoint.busy_until - now));
  }
  const size_t rounds = ahead / PiecesPerRound();
  return until_idle + CallTime(limits_.pieces_per_call) * rounds;
}

// Until all that waits now has been called for.
base::Duration StageDispatcher::DrainTime() const {
  return CallTime(limits_.pieces_per_call) *
         (1 + waiting_pieces() / PiecesPerRound());
}

size_t StageDispatcher::PiecesPerRound() const {
  return std::max<size_t>(
      ServingCount() * limits_.calls_at_once * limits_.pieces_per_call, 1);
}

bool StageDispatcher::IsOnTime(const Job& job, base::TimePoint now) const {
  return now + CallTime(job.waiting.size()) + job.job.time_after <= job.target;
}

// What can still be on time goes before what can't: a late answer is worth
// little to its caller, and serving it first makes the next one late as well.
bool StageDispatcher::GoesBefore(const Job& left,
                                 const Job& right,
                                 base::TimePoint now) const {
  const bool left_on_time = IsOnTime(left, now);
  const bool right_on_time = IsOnTime(right, now);
  if (left_on_time != right_on_time)
    return left_on_time;
  if (left.job.urgency != right.job.urgency)
    return left.job.urgency < right.job.urgency;
  return left.target < right.target;
}

void StageDispatcher::DropLapsed(base::TimePoint now) {
  std::vector<JobId> lapsed;
  for (const auto& [id, job] : jobs_) {
    if (!job.waiting.empty() &&
        now + CallTime(1) + job.job.time_after > job.deadline)
      lapsed.push_back(id);
  }
  for (const JobId id : lapsed)
    Fail(id, {JobFailureKind::kTooLate, DrainTime()});
}

StageDispatcher::OrderedJobs StageDispatcher::JobsInOrder(base::TimePoint now) {
  OrderedJobs jobs;
  for (auto& [id, job] : jobs_) {
    if (!job.waiting.empty())
      jobs.emplace_back(id, &job);
  }
  std::ranges::stable_sort(jobs, [&](const auto& left, const auto& right) {
    return GoesBefore(*left.second, *right.second, now);
  });
  return jobs;
}

std::optional<StageCall> StageDispatcher::NextCall(base::TimePoint now) {
  latest_ = now;
  if (jobs_.empty())
    return std::nullopt;
  DropLapsed(now);
  OrderedJobs jobs;
  for (auto& [name, endpoint] : endpoints_) {
    endpoint.room.DropExpired(now);
    if (!IsIdle(endpoint, now))
      continue;
    if (jobs.empty())
      jobs = JobsInOrder(now);
    if (jobs.empty())
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
bool StageDispatcher::HasRoomFor(const Endpoint& endpoint,
                                 uint64_t bytes) const {
  const uint64_t used = endpoint.room.used_bytes();
  const double usable = usable_room_ * static_cast<double>(limits_.room_bytes);
  return used == 0 || static_cast<double>(used + bytes) <= usable;
}

// One piece finds out whether an endpoint that failed is back, or one of a zone
// in which another can't be reached.
size_t StageDispatcher::PiecesFor(const Endpoint& endpoint) const {
  const bool is_doubtful = endpoint.failures >= kFailuresToProbe ||
                           unreachable_zones_.contains(endpoint.listed.zone);
  return is_doubtful ? 1 : limits_.pieces_per_call;
}

// Pieces that would carry much across zones are made in their reader's zone as
// long as that can be done on time.
bool StageDispatcher::MayTake(const Endpoint& endpoint,
                              const Job& job,
                              base::TimePoint now) const {
  const base::ZoneName& zone = job.job.reader_zone;
  if (zone.value.empty() || zone == endpoint.listed.zone ||
      job.job.crossing_bytes < kLargeBytes)
    return true;
  const auto begins = NextTurnIn(zone, now);
  if (!begins)
    return true;
  // A full call before it, and one more turn in case that one is full too.
  const base::Duration needed =
      CallTime(limits_.pieces_per_call) * 2 + job.job.time_after;
  return *begins + needed > job.target;
}

// When an endpoint of the zone can be called next; empty when it has none.
std::optional<base::TimePoint> StageDispatcher::NextTurnIn(
    const base::ZoneName& zone,
    base::TimePoint now) const {
  std::optional<base::TimePoint> next;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.listed.zone != zone ||
        endpoint.listed.state != EndpointState::kServing)
      continue;
    base::TimePoint turn = std::max(now, endpoint.rests_until);
    if (endpoint.calls >= limits_.calls_at_once)
      turn = std::max(turn, endpoint.busy_until);
    if (!next || turn < *next)
      next = turn;
  }
  return next;
}

StageCall StageDispatcher::MakeCall(Endpoint& endpoint,
                                    const OrderedJobs& jobs,
                                    base::TimePoint now) {
  StageCall call;
  Call record;
  for (const auto& [id, job] : jobs) {
    if (!MayTake(endpoint, *job, now))
      continue;
    TakePieces(endpoint, id, *job, call, record, now);
    if (call.pieces.size() >= PiecesFor(endpoint))
      break;
  }
  if (call.pieces.empty())
    return call;
  call.id = StageCallId{++last_call_};
  call.endpoint = endpoint.listed.name;
  call.address = endpoint.listed.address;
  const base::Duration expected = CallTime(call.pieces.size());
  call.timeout = expected * kCallPatience + kCallSlack;
  record.endpoint = call.endpoint;
  record.address = call.address;
  ++endpoint.calls;
  endpoint.busy_until = now + expected;
  calls_.emplace(call.id, std::move(record));
  return call;
}

void StageDispatcher::TakePieces(Endpoint& endpoint,
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
    endpoint.room.Reserve(bytes);
    record.pieces.push_back({id, piece, bytes});
    call.pieces.push_back({job.job.request_id, job.job.stage, piece,
                           job.deadline - now - job.job.time_after,
                           job.job.input});
    if (job.repeats == 0)
      repeats_.NoteFirstTry();
  }
}

void StageDispatcher::FinishCall(StageCallId id,
                                 const StageCallOutcome& outcome,
                                 base::TimePoint now) {
  latest_ = now;
  const auto node = calls_.extract(id);
  if (node.empty())
    return;
  const Call& call = node.mapped();
  Endpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr) {
    --endpoint->calls;
    for (const CalledPiece& piece : call.pieces)
      endpoint->room.Release(piece.result_bytes);
  }
  const auto* pieces = std::get_if<std::vector<PieceOutcome>>(&outcome);
  if (pieces == nullptr || pieces->size() != call.pieces.size()) {
    const auto* failure = std::get_if<StageCallFailure>(&outcome);
    NoteCallFailed(
        call, failure == nullptr ? StageCallFailure::kBroken : *failure, now);
    return;
  }
  if (endpoint != nullptr) {
    endpoint->failures = 0;
    unreachable_zones_.erase(endpoint->listed.zone);
  }
  usable_room_ = std::min(usable_room_ + kRoomGrowth, 1.0);
  for (size_t i = 0; i < pieces->size(); ++i) {
    const CalledPiece& piece = call.pieces[i];
    if (const auto* handle = std::get_if<std::string>(&(*pieces)[i])) {
      NoteMade(call, piece, *handle, now);
      continue;
    }
    const auto refusal = std::get<PieceRefusal>((*pieces)[i]);
    if (refusal == PieceRefusal::kNoRoom) {
      usable_room_ = std::max(usable_room_ * kRoomShrink, kLeastUsableRoom);
      if (endpoint != nullptr)
        endpoint->rests_until = now + kFullRest;
    }
    NoteRefused(piece, refusal);
  }
}

void StageDispatcher::NoteCallFailed(const Call& call,
                                     StageCallFailure failure,
                                     base::TimePoint now) {
  if (Endpoint* endpoint = FindEndpoint(call.endpoint)) {
    if (failure == StageCallFailure::kNotRun) {
      endpoint->rests_until = now + kFullRest;
    } else {
      const auto rest =
          kFirstRest * (int64_t{1} << std::min(endpoint->failures, 8U));
      endpoint->rests_until =
          now + std::min<base::Duration>(rest, kLongestRest);
      ++endpoint->failures;
    }
    if (failure == StageCallFailure::kUnreachable)
      unreachable_zones_.insert(endpoint->listed.zone);
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
  Endpoint* endpoint = FindEndpoint(call.endpoint);
  if (endpoint != nullptr)
    endpoint->room.Add(handle, piece.result_bytes, now + limits_.result_life);
  const auto it = jobs_.find(piece.job);
  if (it == jobs_.end()) {
    if (endpoint != nullptr)
      ScheduleFree(*endpoint, handle, now);
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
      Fail(piece.job, {JobFailureKind::kTooLate, DrainTime()});
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
    if (Endpoint* endpoint = FindByAddress(job.makers[i]))
      ScheduleFree(*endpoint, job.handles[i], latest_);
  }
}

void StageDispatcher::Free(std::span<const StageResult> results,
                           base::TimePoint now) {
  latest_ = now;
  for (const StageResult& result : results) {
    if (Endpoint* endpoint = FindByAddress(result.maker))
      ScheduleFree(*endpoint, result.handle, now);
  }
}

void StageDispatcher::ScheduleFree(Endpoint& endpoint,
                                   const std::string& handle,
                                   base::TimePoint now) {
  const bool is_large = endpoint.room.SizeOf(handle) >= kLargeBytes;
  endpoint.to_free.push_back(handle);
  const base::TimePoint due = is_large ? now : now + kFreeDelay;
  endpoint.free_due = std::min(endpoint.free_due.value_or(due), due);
}

std::vector<FreeOrder> StageDispatcher::TakeFreeOrders(base::TimePoint now) {
  std::vector<FreeOrder> orders;
  for (auto& [name, endpoint] : endpoints_) {
    if (!endpoint.free_due || *endpoint.free_due > now)
      continue;
    endpoint.free_due.reset();
    orders.push_back({endpoint.listed.pool, name, endpoint.listed.address,
                      std::exchange(endpoint.to_free, {})});
  }
  return orders;
}

void StageDispatcher::NoteFreed(const FreeOrder& order) {
  Endpoint* endpoint = FindEndpoint(order.endpoint);
  if (endpoint == nullptr)
    return;
  for (const std::string& handle : order.handles)
    endpoint->room.Remove(handle);
}

std::optional<base::TimePoint> StageDispatcher::NextWakeup() const {
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint time) {
    if (!next || time < *next)
      next = time;
  };
  const bool is_waiting = waiting_pieces() > 0;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.free_due)
      consider(*endpoint.free_due);
    if (!is_waiting || endpoint.calls >= limits_.calls_at_once)
      continue;
    // Waits for its rest to end, or for room.
    if (endpoint.rests_until > latest_)
      consider(endpoint.rests_until);
    else if (const auto expiry = endpoint.room.NextExpiry();
             expiry != base::TimePoint::max())
      consider(expiry);
  }
  for (const auto& [id, job] : jobs_) {
    if (!job.waiting.empty())
      consider(job.deadline - job.job.time_after - CallTime(1) +
               base::Duration(1));
  }
  return next;
}

size_t StageDispatcher::waiting_pieces() const {
  size_t n = 0;
  for (const auto& [id, job] : jobs_)
    n += job.waiting.size();
  return n;
}

size_t StageDispatcher::ServingCount() const {
  return static_cast<size_t>(
      std::ranges::count_if(endpoints_, [](const auto& it) {
        return it.second.listed.state == EndpointState::kServing;
      }));
}

StageDispatcher::Endpoint* StageDispatcher::FindEndpoint(
    const base::EndpointName& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

StageDispatcher::Endpoint* StageDispatcher::FindByAddress(
    const base::SocketAddress& address) {
  const auto it = std::ranges::find_if(endpoints_, [&](const auto& it) {
    return it.second.listed.address == address;
  });
  return it == endpoints_.end() ? nullptr : &it->second;
}

}  // namespace bilberry::forward
