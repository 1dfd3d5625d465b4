#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "LibBase/random.h"
#include "LibForward/admission_control.h"
#include "LibForward/carrier_chooser.h"
#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forwarded_run.h"
#include "LibForward/permit_coordinator.h"
#include "LibForward/placement_coordinator.h"
#include "LibForward/retry_budgets.h"
#include "LibForward/run_permits.h"
#include "LibForward/run_placements.h"
#include "LibForward/run_time_estimator.h"
#include "LibForward/run_timers.h"
#include "LibForward/stage_job_router.h"

namespace bilberry::forward {

// Processes callers' requests from arrival to answer: first the stages, then
// the final attempts and the stream of the answer.
class ForwardedRunCoordinator {
 public:
  // All arguments must outlive this object.
  ForwardedRunCoordinator(ForwardContext& context,
                          EndpointChooser& chooser,
                          StageJobRouter& stages,
                          PermitCoordinator& permits,
                          PlacementCoordinator& placements,
                          StreamVersions& streams,
                          const PeerDirectory& peers);

  void SetConfiguration(
      std::shared_ptr<const ForwardConfiguration> configuration) {
    admission_.SetConfiguration(std::move(configuration));
  }
  // Sets the number of hosts, among which the retry budgets are divided.
  void SetFleetSize(size_t hosts) { budgets_.SetFleetSize(hosts); }
  // From now on new requests are refused as not executed.
  void StopAccepting() { admission_.StopAccepting(); }
  bool is_accepting() const { return admission_.is_accepting(); }
  // From now on no request is sent to an endpoint; ends those that are not in
  // flight.
  void StopSending(base::TimePoint now);
  bool is_sending() const { return is_sending_; }

  void Handle(ForwardedRequest request, base::TimePoint now);
  void Handle(const CallerDisconnected& event, base::TimePoint now);
  void NoteBackoffEnded(const base::EndpointName& endpoint,
                        base::TimePoint now) {
    chooser_.NoteBackoffEnded(endpoint, now);
  }
  void Handle(AttemptChunk event, base::TimePoint now);
  void Handle(AttemptAnswer event, base::TimePoint now);
  void Handle(const AttemptFailure& event, base::TimePoint now);
  // Has peers carry the requests that wait and whose endpoints this host can't
  // reach any more.
  void CarryUnreachable(base::TimePoint now);
  // Sends the requests again that waited for the health check of an endpoint
  // and don't any more.
  void SendDecided(base::TimePoint now);

  // Ends the requests that hold a refused part of a prompt and to which no
  // endpoint has begun to answer, also those that are in flight.
  void EndRefusedParts(base::TimePoint now);

  // Processes the outcomes of stages, permit requests and placement requests
  // until none is left.
  void ProcessOutcomes(base::TimePoint now);
  // Advances the runs that are due and ends those whose deadline has passed.
  void HandleTimer(base::TimePoint now);
  // Ends all runs when the time for a graceful stop is over.
  void EndAll(base::TimePoint now);

  std::optional<base::TimePoint> NextWakeup() const {
    return timers_.NextWakeup();
  }
  size_t run_count() const { return runs_.size(); }
  // The caller to whom the attempt's answer goes; empty for an attempt that has
  // ended.
  std::optional<base::CallerId> CallerOf(const base::AttemptId& attempt) const;
  // What is kept of the attempt's stream, in bytes: an event that isn't
  // complete, and the id of the last one.
  size_t KeptStreamBytes(const base::AttemptId& attempt) const;

 private:
  // Classification of an endpoint's answer.
  enum class AnswerClass {
    kPass,     // Passed on to the caller.
    kNotRun,   // Refused by the endpoint without being executed.
    kInvalid,  // Answers another request, or doesn't come from the endpoint.
    kFailed,   // Error of the endpoint; another endpoint may succeed.
  };

  using Runs = std::map<base::CallerId, ForwardedRun>;

  void Advance(base::CallerId caller, base::TimePoint now);
  void RequestStage(base::CallerId caller,
                    ForwardedRun& run,
                    size_t stage,
                    base::TimePoint now);
  // Requests the stage from another cell after a failure. Returns false if no
  // cell is left, or if another cell would fail as well.
  bool RetryInOtherCell(base::CallerId caller,
                        size_t stage,
                        const JobFailure& failure,
                        base::TimePoint now);
  void StoreResults(base::CallerId caller,
                    size_t stage,
                    LocatedResults results,
                    base::TimePoint now);
  void LogStage(const ForwardedRun& run,
                size_t stage,
                const JobRequestOutcome& outcome,
                base::TimePoint now);
  void ProcessStageOutcomes(base::TimePoint now);
  // Continues the requests whose streams' origins were looked up. Returns
  // whether there were any.
  bool ProcessLookups(base::TimePoint now);
  // Whether an endpoint serves at which the run's stream can go on.
  bool CanGoOn(const ForwardedRun& run, base::TimePoint now);
  void NoteStreamBegun(const ForwardedRun& run, base::TimePoint now);
  // The endpoint of the run's attempt has answered.
  void NoteReached(const ForwardedRun& run, base::TimePoint now);
  // Processes the outcomes of permit or placement requests. Returns false if
  // there was none.
  template <typename Requests>
  bool ProcessOutcomesOf(Requests& requests, base::TimePoint now);
  // Sends the request by its permit, or waits for the permit to begin. Returns
  // false if there is no usable permit.
  bool SendWithPermit(base::CallerId caller, base::TimePoint now);
  void SendFinal(base::CallerId caller, base::TimePoint now);
  // Whether a peer is to carry the request: its endpoints are out of this
  // host's reach, and none has run it.
  bool IsToBeCarried(const ForwardedRun& run, base::TimePoint now);
  // Gives up what was done for the request here, and has a peer carry it.
  void BeginCarrying(base::CallerId caller, base::TimePoint now);
  void SendToCarrier(base::CallerId caller, base::TimePoint now);
  // Holds back or ends a request that may crash endpoints. Returns false if it
  // may be sent now.
  bool HoldSuspect(base::CallerId caller, base::TimePoint now);
  bool IsInFlight(const std::string& digest) const;
  // Ends a request that holds a refused part of a prompt. Returns false if it
  // holds none.
  bool EndIfPartRefused(base::CallerId caller, base::TimePoint now);
  void EndAsQuarantined(base::CallerId caller,
                        base::Duration retry_after,
                        base::TimePoint now);
  // `placement` is set if the endpoint was chosen by its placement owner.
  void SendTo(const ListedEndpoint& endpoint,
              std::optional<PlacementRequestId> placement,
              base::CallerId caller,
              base::TimePoint now);
  // No endpoint accepts requests before `until`: waits until then, or ends the
  // run if its deadline doesn't allow that.
  void WaitUntilAvailable(base::CallerId caller,
                          base::TimePoint until,
                          base::TimePoint now);
  // Returns the minimum Retry-After of a refused caller.
  base::Duration RetryAfterRefusal(const ForwardedRun& run,
                                   base::TimePoint now) const;
  AnswerClass ClassifyAnswer(const ForwardedRun& run,
                             const AnswerHead& head) const;
  void BeginStreaming(ForwardedRun& run, AnswerHead head, base::TimePoint now);
  // Ends a failed attempt, and retries the request or answers the caller with
  // an error.
  void FailAttempt(base::CallerId caller,
                   AttemptOutcome outcome,
                   std::string reason,
                   base::TimePoint now);
  bool MaySendAgain(const ForwardedRun& run, AttemptOutcome outcome);
  void EndAttempt(ForwardedRun& run,
                  AttemptOutcome outcome,
                  base::TimePoint now);
  // Withdraws what the run waits for, except an attempt.
  void WithdrawRequests(ForwardedRun& run, base::TimePoint now);
  void ReleaseAll(ForwardedRun& run, base::TimePoint now);
  void ReleaseStage(StageState& stage, base::TimePoint now);
  void AnswerAndEnd(base::CallerId caller,
                    LocalAnswerCode code,
                    std::optional<base::Duration> retry_after,
                    base::TimePoint now);
  // Answers a request that a stopping host can't serve any more.
  void EndForStop(base::CallerId caller, base::TimePoint now);
  // Removes a run that has been answered or whose caller has left, and releases
  // its resources.
  void EndRun(base::CallerId caller, std::string outcome, base::TimePoint now);

  ForwardContext& context_;
  StageJobRouter& stage_job_router_;
  EndpointChooser& chooser_;
  base::Random random_;
  RunPlacements placements_;
  StreamVersions& stream_versions_;
  CarrierChooser carriers_;
  AdmissionControl admission_;
  RunPermits permits_;
  RetryBudgets budgets_;
  RunTimers timers_;
  Runs runs_;
  std::map<JobRequestId, std::pair<base::CallerId, size_t>> job_requests_;
  std::unordered_map<uint64_t, base::CallerId> attempts_;  // By attempt number.
  RunTimeEstimator run_times_;
  uint64_t last_attempt_ = 0;
  bool is_sending_ = true;
};

}  // namespace bilberry::forward
