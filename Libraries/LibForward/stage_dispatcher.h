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

// Whether an answer belongs to the call as whose answer it was received.
enum class AnswerMatch { kMatched, kMismatched };

// Batches the pieces of many requests, including those of other hosts, into
// calls to the endpoints of one pool. An idle endpoint immediately gets the
// pieces that wait; while all are busy, the next call fills up. Performs no I/O
// and reads no clock.
class StageDispatcher {
 public:
  // `conditions` must outlive the dispatcher.
  StageDispatcher(PieceLimits limits, EndpointConditions& conditions);

  void Reconfigure(const PieceLimits& limits) { limits_ = limits; }
  // The fraction of each endpoint's rate limit that this host may use; 1 if no
  // other host calls these endpoints.
  void SetLimitShare(double share);
  // Replaces the endpoints that may be called. Calls in flight end as usual.
  void SetEndpoints(std::span<const ListedEndpoint> endpoints);

  // Ends in one outcome, unless the job is withdrawn.
  JobId Submit(StageJob job, base::TimePoint now);
  // Cancels a job. Results that arrive later are freed.
  void Withdraw(JobId id);
  // Returns the ended jobs and empties the list.
  std::vector<std::pair<JobId, JobOutcome>> TakeOutcomes();

  // The next call, if pieces are waiting and an endpoint is idle. Call until
  // empty.
  std::optional<StageCall> NextCall(base::TimePoint now);
  AnswerMatch FinishCall(StageCallId id,
                         const StageCallOutcome& outcome,
                         base::TimePoint now);

  // Frees results that won't be read any more.
  void Free(std::span<const StageResult> results, base::TimePoint now);
  // The due requests to free results, at most one per endpoint.
  std::vector<FreeRequest> TakeFreeRequests(base::TimePoint now);
  // Records that the endpoint has freed the results and has their memory back.
  void NoteFreed(const FreeRequest& request);

  // When to call NextCall() and TakeFreeRequests() if no event arrives earlier.
  std::optional<base::TimePoint> NextWakeup() const;

  // The queueing time of a new job behind all waiting ones.
  base::Duration Backlog(base::TimePoint now) const;
  size_t waiting_pieces() const;
  // The number of endpoints that aren't leaving.
  size_t ServingCount() const;
  // The number of serving endpoints without a backoff at the moment.
  size_t AvailableCount(base::TimePoint now) const;

 private:
  struct Job {
    StageJob job;
    base::TimePoint target;
    base::TimePoint deadline;
    base::TimePoint inputs_expire;
    std::vector<uint32_t> waiting;     // Pieces that are in no call.
    std::vector<std::string> handles;  // By piece; empty until it is produced.
    std::vector<base::SocketAddress> producers;
    uint32_t produced_count = 0;
    uint32_t retries = 0;
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

  // Waiting jobs in service order; the first `on_time` of them can be on time.
  struct OrderedJobs {
    std::vector<std::pair<JobId, Job*>> jobs;
    size_t on_time = 0;
    base::Duration queue_time{};  // Until all of them have had their turn.
  };

  bool HasMemoryFor(const PieceEndpoint& endpoint, uint64_t bytes) const;
  size_t PiecesFor(const PieceEndpoint& endpoint) const;
  // Whether the job's request may crash endpoints, so that its pieces get calls
  // of their own.
  bool IsSuspect(const Job& job) const;
  // Whether the job's pieces wait for the health check of an endpoint that may
  // have crashed under them.
  bool IsUndecided(const Job& job, base::TimePoint now) const;
  bool MayTake(const PieceEndpoint& endpoint,
               const Job& job,
               base::Duration queue_time,
               base::TimePoint now) const;
  std::optional<base::TimePoint> NextTurnIn(const base::ZoneName& zone,
                                            base::TimePoint now) const;
  // Whether the endpoint has no backoff at the moment.
  bool IsAvailable(const base::EndpointName& name, base::TimePoint now) const;
  // The number of calls that the endpoints take in a round of this length.
  double CallsPerRound(base::Duration round, base::TimePoint now) const;
  base::Duration CallTime(size_t pieces) const;
  PoolThroughput ThroughputAt(base::TimePoint now) const;
  QueuedJob QueuedJobOf(JobId id, const Job& job) const;
  ServiceOrder OrderAt(const PoolThroughput& throughput) const;
  // Admission control: the failure to answer with, or empty if the job is
  // accepted.
  std::optional<JobFailure> RefusalOf(JobId id,
                                      const Job& job,
                                      base::TimePoint now);
  // Includes when the caller may retry.
  JobFailure MakeTooLateFailure(const Job& job,
                                const ServiceOrder& order,
                                const PoolThroughput& throughput,
                                base::TimePoint now);
  void FailTooLate(JobId id, base::TimePoint now);
  base::TimePoint ExpiryOf(const Job& job) const;
  void FailExpired(base::TimePoint now);
  OrderedJobs JobsInOrder(base::TimePoint now);
  // The endpoints that can take a call now, in the order of preference.
  std::vector<PieceEndpoint*> IdleEndpoints(base::TimePoint now);
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
  void ApplyPieceOutcomes(const Call& call,
                          const std::vector<PieceOutcome>& pieces,
                          base::TimePoint now);
  void NotePieceDone(const Call& call,
                     const CalledPiece& piece,
                     const std::string& handle,
                     base::TimePoint now);
  void NoteRefused(const CalledPiece& piece, PieceRefusal refusal);
  void NoteCallFailed(const Call& call,
                      StageCallFailure failure,
                      base::TimePoint now);
  void PutBack(const CalledPiece& piece);
  void RetryPiece(const CalledPiece& piece);
  void Fail(JobId id, JobFailure failure);
  void FreeResultsOf(const Job& job);
  PieceEndpoint* FindEndpoint(const base::EndpointName& name);
  PieceEndpoint* FindByAddress(const base::SocketAddress& address);

  PieceLimits limits_;
  double limit_share_ = 1;
  EndpointConditions& conditions_;
  std::map<base::EndpointName, PieceEndpoint> endpoints_;
  // Zones with an endpoint that could not be reached, until one of the zone
  // answers.
  std::set<base::ZoneName> unreachable_zones_;
  std::map<JobId, Job> jobs_;
  std::unordered_map<StageCallId, Call> calls_;
  std::vector<std::pair<JobId, JobOutcome>> outcomes_;
  policy::RetryBudget retry_budget_;
  double usable_memory_ = 1;  // Fillable fraction of endpoint memory.
  // End of the last retry slot that was given to a refused job.
  base::TimePoint retry_slots_end_;
  // Average load of calls while more pieces wait, as a fraction of a full call.
  double fullness_ = 1;
  // Average fraction of a call that on-time jobs leave to late ones.
  double left_for_late_ = 1;
  uint64_t last_job_ = 0;
  uint64_t last_call_ = 0;
  base::TimePoint last_time_;  // The last time passed in.
};

}  // namespace bilberry::forward
