#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibForward/piece_endpoint.h"
#include "LibForward/service_order.h"
#include "LibForward/stage_job.h"
#include "LibPolicy/retry_budget.h"

namespace bilberry::forward {

// Whether an answer was that to the call which it seemed to end.
enum class AnswerMatch { kMatched, kMismatched };

// Collects the pieces of many requests, also of other hosts', into calls to the
// endpoints of one pool. An idle endpoint takes at once what there is; while it
// is busy, the next call fills. Pure: time is passed in.
class StageDispatcher {
 public:
  // `words` must outlive the dispatcher.
  StageDispatcher(PieceLimits limits, EndpointConditions& conditions);

  void Reconfigure(const PieceLimits& limits) { limits_ = limits; }
  // The part of each endpoint's limit that this host may use: all of it as the
  // only one to call there.
  void SetLimitShare(double share);
  // Replaces the endpoints that may be called. Calls under way end as usual.
  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  // Ends in one outcome, unless the job is withdrawn.
  JobId Submit(StageJob job, base::TimePoint now);
  // Gives a job up; results of it that come later are freed.
  void Withdraw(JobId id);
  // Finished jobs; empties the list.
  std::vector<std::pair<JobId, JobOutcome>> TakeOutcomes();

  // The next call, if pieces wait and an endpoint is idle. Call until empty.
  std::optional<StageCall> NextCall(base::TimePoint now);
  AnswerMatch FinishCall(StageCallId id,
                         const StageCallOutcome& outcome,
                         base::TimePoint now);

  // These results won't be read any more.
  void Free(std::span<const StageResult> results, base::TimePoint now);
  // What to free now, an order an endpoint.
  std::vector<FreeRequest> TakeFreeOrders(base::TimePoint now);
  // The endpoint has done so: the room is there again.
  void NoteFreed(const FreeRequest& order);

  // When to call NextCall() and TakeFreeOrders() though nothing has happened.
  std::optional<base::TimePoint> NextWakeup() const;

  // What a new job would wait for its turn, behind all that waits.
  base::Duration Backlog(base::TimePoint now) const;
  size_t waiting_pieces() const;
  // Endpoints that aren't leaving.
  size_t ServingCount() const;
  // Of those, the ones that haven't asked to be left alone just now.
  size_t OpenCount(base::TimePoint now) const;

 private:
  struct Job {
    StageJob job;
    base::TimePoint target;
    base::TimePoint deadline;
    base::TimePoint inputs_gone;
    std::vector<uint32_t> waiting;     // Pieces that no call holds.
    std::vector<std::string> handles;  // By piece; empty until it is made.
    std::vector<base::SocketAddress> makers;
    uint32_t made = 0;
    uint32_t repeats = 0;
  };

  struct CalledPiece {
    JobId job{};
    uint32_t piece = 0;
    uint64_t result_bytes = 0;
  };

  struct Call {
    base::EndpointName endpoint;
    base::SocketAddress address;
    std::vector<CalledPiece> pieces;
  };

  // Waiting jobs in their order; the first `on_time` of them can be on time.
  struct OrderedJobs {
    std::vector<std::pair<JobId, Job*>> jobs;
    size_t on_time = 0;
    base::Duration queue_time{};  // Until all of them have had their turn.
  };

  bool HasRoomFor(const PieceEndpoint& endpoint, uint64_t bytes) const;
  size_t PiecesFor(const PieceEndpoint& endpoint) const;
  bool MayTake(const PieceEndpoint& endpoint,
               const Job& job,
               base::Duration queue_time,
               base::TimePoint now) const;
  std::optional<base::TimePoint> NextTurnIn(const base::ZoneName& zone,
                                            base::TimePoint now) const;
  // It doesn't want to be left alone just now.
  bool IsOpen(const base::EndpointName& name, base::TimePoint now) const;
  // Calls that the endpoints take in a round of this length.
  double CallsPerRound(base::Duration round, base::TimePoint now) const;
  base::Duration CallTime(size_t pieces) const;
  PoolThroughput PaceAt(base::TimePoint now) const;
  QueuedJob Queued(JobId id, const Job& job) const;
  ServiceOrder OrderAt(const PoolThroughput& pace) const;
  // Empty when the job is welcome.
  std::optional<JobFailure> RefusalOf(JobId id,
                                      const Job& job,
                                      base::TimePoint now);
  // Tells when to come back.
  JobFailure TooLate(const Job& job,
                     const ServiceOrder& order,
                     const PoolThroughput& pace,
                     base::TimePoint now);
  void FailTooLate(JobId id, base::TimePoint now);
  base::TimePoint LapseOf(const Job& job) const;
  void DropLapsed(base::TimePoint now);
  OrderedJobs JobsInOrder(base::TimePoint now);
  StageCall MakeCall(PieceEndpoint& endpoint,
                     const OrderedJobs& jobs,
                     base::TimePoint now);
  void TakePieces(PieceEndpoint& endpoint,
                  JobId id,
                  Job& job,
                  StageCall& call,
                  Call& record,
                  base::TimePoint now);
  void NoteFullness(size_t pieces, size_t on_time_pieces, size_t waiting);
  void TakePieceOutcomes(const Call& call,
                         const std::vector<PieceOutcome>& pieces,
                         base::TimePoint now);
  void NoteMade(const Call& call,
                const CalledPiece& piece,
                const std::string& handle,
                base::TimePoint now);
  void NoteRefused(const CalledPiece& piece, PieceRefusal refusal);
  void NoteCallFailed(const Call& call,
                      StageCallFailure failure,
                      base::TimePoint now);
  void PutBack(const CalledPiece& piece);
  void RepeatPiece(const CalledPiece& piece);
  void Fail(JobId id, JobFailure failure);
  void FreeMade(const Job& job);
  PieceEndpoint* FindEndpoint(const base::EndpointName& name);
  PieceEndpoint* FindByAddress(const base::SocketAddress& address);

  PieceLimits limits_;
  double limit_share_ = 1;
  EndpointConditions& conditions_;
  std::map<base::EndpointName, PieceEndpoint> endpoints_;
  // Zones of endpoints that could not be reached, until one of them answers.
  std::set<base::ZoneName> unreachable_zones_;
  std::map<JobId, Job> jobs_;
  std::unordered_map<StageCallId, Call> calls_;
  std::vector<std::pair<JobId, JobOutcome>> outcomes_;
  policy::RetryBudget repeats_;
  double usable_room_ = 1;  // The part of each endpoint's room that is filled.
  // Until then, those who were refused have been told to come back.
  base::TimePoint returns_until_;
  // What calls make of full ones while more waits; 1 if all are full.
  double fullness_ = 1;
  // The part of calls that jobs on time leave to the others.
  double left_for_late_ = 1;
  uint64_t last_job_ = 0;
  uint64_t last_call_ = 0;
  base::TimePoint latest_;  // Of all times passed in.
};

}  // namespace bilberry::forward
