#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibForward/cell.h"
#include "LibForward/forward_context.h"
#include "LibForward/stage_dispatcher.h"

namespace bilberry::forward {

// Who submitted a job to a dispatcher: this host itself, or a peer.
using JobOrigin = std::variant<JobRequestId, PeerExchangeId>;

// A job that has ended, with its outcome.
struct FinishedJob {
  JobOrigin origin;
  JobOutcome outcome;
  base::Duration backlog{};  // Queueing time of a new job at the dispatcher.
};

// The stage dispatchers of this host, one for each pool of each cell for which
// this host was asked to dispatch.
class LocalDispatchers {
 public:
  explicit LocalDispatchers(ForwardContext& context) : context_(context) {}

  void Reconfigure(const ForwardConfiguration& configuration);
  void SetEndpoints(std::vector<ListedEndpoint> endpoints);

  // The fraction of each endpoint's rate limit that this host may use.
  void SetLimitShare(const CellPool& at, double share);

  // Ends in one outcome, unless the job is withdrawn. Returns nothing if the
  // pool doesn't produce pieces.
  std::optional<JobId> Submit(const CellPool& at,
                              StageJob job,
                              JobOrigin origin,
                              base::TimePoint now);
  void Withdraw(const CellPool& at, JobId job);
  // Releases results that won't be read any more.
  void Free(const CellPool& at,
            const std::vector<StageResult>& results,
            base::TimePoint now);

  void Handle(const ResultsFreed& event);
  void Handle(const StageCallEnded& event, base::TimePoint now);

  // Starts the calls that are due.
  void Dispatch(base::TimePoint now);
  std::vector<FinishedJob> TakeOutcomes();

  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // A call that was sent to an endpoint and has not ended.
  struct OpenCall {
    CellPool at;
    StageCallId id{};  // As numbered by the dispatcher.
    base::EndpointName endpoint;
    base::SocketAddress address;
    base::TimePoint sent;
    size_t pieces = 0;
    std::string requests;  // Request ids, separated by spaces.
    uint32_t used_percent = 0;
    uint32_t usable_percent = 0;
    uint32_t waiting_pieces = 0;
    std::vector<policy::CrashSuspect> suspects;  // The requests.
  };

  struct SubmittedJob {
    JobOrigin origin;
    std::string request_id;
  };

  struct Entry {
    Entry(const PieceLimits& limits, EndpointConditions& conditions)
        : dispatcher(limits, conditions) {}
    StageDispatcher dispatcher;
    std::map<JobId, SubmittedJob> submitted;
  };

  // Null if the pool doesn't produce pieces.
  Entry* FindOrAdd(const CellPool& at);
  void UpdateEndpoints(const CellPool& at, Entry& entry);
  void MakeCalls(const CellPool& at, Entry& entry, base::TimePoint now);
  void TakeOutcomesOf(const CellPool& at, Entry& entry, base::TimePoint now);
  void LogCall(const OpenCall& call,
               const StageCallOutcome& outcome,
               base::TimePoint now);
  void LogRefused(const CellPool& at,
                  const Entry& entry,
                  const std::string& request_id,
                  const JobFailure& failure);

  ForwardContext& context_;
  std::map<base::PoolName, PieceLimits> limits_;
  std::vector<ListedEndpoint> endpoints_;
  std::map<CellPool, Entry> entries_;
  // Keyed by an id that is unique across all dispatchers of this host.
  std::map<StageCallId, OpenCall> calls_;
  std::vector<FinishedJob> outcomes_;
  uint64_t last_call_ = 0;
};

}  // namespace bilberry::forward
