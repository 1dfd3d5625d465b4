#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"
#include "LibMembership/host_list.h"
#include "LibNode/booking_coordinator.h"
#include "LibNode/event.h"
#include "LibNode/membership_coordinator.h"
#include "LibNode/node_context.h"
#include "LibPipeline/run.h"
#include "LibPolicy/admission.h"
#include "LibPolicy/attempt_timeouts.h"
#include "LibPolicy/pool_scheduler.h"
#include "LibPolicy/quarantine.h"
#include "LibPolicy/retry_budget.h"
#include "LibReport/service_recorder.h"

namespace bilberry::node {

// Runs callers' requests through the stages of their pipelines, to one answer
// each.
class RunCoordinator {
 public:
  RunCoordinator(NodeContext& context,
                 BookingCoordinator& bookings,
                 MembershipCoordinator& membership)
      : context_(context), bookings_(bookings), membership_(membership) {}

  void HandleRequest(const CallerRequest& request, base::TimePoint now);
  void HandleCallerDisconnected(base::CallerId caller, base::TimePoint now);
  void HandleSending(const EndpointSending& sending);
  void HandleChunk(const EndpointChunk& chunk, base::TimePoint now);
  void HandleAnswer(const EndpointAnswer& answer, base::TimePoint now);
  void HandleFailure(const EndpointFailure& failure, base::TimePoint now);
  void HandleDecision(const BookingDecision& decision, base::TimePoint now);
  void HandleTimer(base::TimePoint now);

  // Applies a peer's load, crash suspicions and quarantines.
  void HandleGossipDigest(const GossipDigest& digest, base::TimePoint now);
  // Adds this host's load, crash suspicions and quarantines.
  void FillGossipDigest(GossipDigest& digest) const;

  // Applies the current configuration and host list.
  void Refresh(base::TimePoint now);
  // Drops pools that neither the current configuration nor that of any active
  // run declares.
  void DropUnusedPools();

  // Dispatches waiting work to endpoints with room.
  void DispatchAll(base::TimePoint now);

  void StopAccepting() { is_accepting_ = false; }
  bool is_accepting() const { return is_accepting_; }
  size_t run_count() const { return runs_.size(); }
  size_t lingering_count() const { return lingering_count_; }
  std::vector<policy::PoolLoad> Loads() const;
  const report::ServiceRecorder& recorder() const { return recorder_; }
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // A booking's run stays in kRecording until its answer is durable.
  enum class Phase { kClaiming, kQueued, kSent, kRecording };

  struct ActiveRun {
    pipeline::Run run;
    base::CallerId caller{};
    std::string digest;  // Digest of the request.
    Phase phase = Phase::kQueued;
    bool has_stream_begun = false;
    // State of the current stage: attempts so far, and the endpoints that
    // failed it.
    uint32_t attempt_count = 0;
    std::vector<base::EndpointName> avoided{};
    // State of the current attempt.
    ConnectionAge connection = ConnectionAge::kFresh;
    bool has_answer_begun = false;
    uint64_t resume_offset = 0;
    // Bytes streamed to the caller, over all attempts.
    uint64_t streamed_bytes = 0;
    base::TimePoint stage_offered = {};
    // Of all stages.
    std::vector<report::StageTime> ended_attempts = {};
    // The caller was answered at the deadline; the attempt stays open for its
    // outcome.
    bool is_lingering = false;
    base::TimePoint expires_at{};
  };

  enum class RetryCost {
    kFromBudget,
    // The endpoint is leaving the pool and refuses each request only once, so
    // the retry needs no budget.
    kFree,
  };

  // Where a retry may be sent.
  enum class RetryTarget {
    kOtherEndpoint,
    kAnyEndpoint,  // The connection failed, not the endpoint.
  };

  struct AttemptFailure {
    pipeline::AttemptEffect effect = pipeline::AttemptEffect::kUnknown;
    policy::AttemptVerdict verdict = policy::AttemptVerdict::kFailed;
    RetryCost retry = RetryCost::kFromBudget;
    RetryTarget target = RetryTarget::kOtherEndpoint;
    CallerError error;
  };

  using Executed = pipeline::Executed;
  using RunMap = std::unordered_map<base::RunId, ActiveRun>;

  void Admit(const CallerRequest& request,
             pipeline::RunRequest checked,
             const std::shared_ptr<const declare::Configuration>& configuration,
             base::TimePoint now);
  // Whether a new run is expected to meet its deadline.
  policy::AdmissionDecision DecideAdmission(const pipeline::Run& run,
                                            base::TimePoint now) const;
  // Expected time of the stages after the current one.
  base::Duration ServiceAfter(const pipeline::Run& run,
                              base::TimePoint now) const;
  // Refuses the run when all endpoints of its first pool have asked for no
  // requests by Retry-After; true when the run has been refused.
  bool RefuseDuringBackoff(ActiveRun& active, base::TimePoint now);
  void OfferStage(ActiveRun& active, base::TimePoint now);
  // Ends a run without an attempt in flight, with a Retry-After time.
  void FailUnsent(ActiveRun& active, CallerError error, base::TimePoint now);
  void StartAttempt(const policy::Dispatch& dispatch,
                    policy::PoolScheduler& pool,
                    base::TimePoint now);
  // Null when no run waits for this attempt any more.
  ActiveRun* FindByAttempt(const base::AttemptId& attempt);
  void ReportAttempt(ActiveRun& active,
                     policy::AttemptVerdict verdict,
                     std::optional<uint32_t> load,
                     base::TimePoint now);
  static AttemptFailure FailureOf(const EndpointAnswer& answer,
                                  const base::EndpointName& endpoint);
  // Retries the stage at another endpoint if possible, else ends the run.
  void FailAttempt(ActiveRun& active,
                   AttemptFailure failure,
                   base::TimePoint now);
  // Queues the stage again; requires MayRetry().
  void Retry(ActiveRun& active,
             const AttemptFailure& failure,
             base::TimePoint now);
  // Cancels an attempt that exceeds its adaptive timeout, if it may be retried.
  void TimeOutAttempt(ActiveRun& active, base::TimePoint now);
  void TimeOutSlowAttempts(base::TimePoint now);
  // Ends a stream that the endpoint does not resume at the requested offset.
  void EndUnresumed(ActiveRun& active, base::TimePoint now);
  void RetireConnections(const ActiveRun& active);
  bool MayTimeOut(const ActiveRun& active) const;
  base::TimePoint AttemptTimeoutAt(const ActiveRun& active) const;
  bool MayRetry(const ActiveRun& active,
                const AttemptFailure& failure,
                base::TimePoint now) const;
  // Whether a live endpoint is left that has not failed the current stage.
  bool HasOtherEndpoint(const ActiveRun& active) const;
  void CancelAttempt(ActiveRun& active,
                     policy::AttemptVerdict verdict,
                     base::TimePoint now);
  // Whether the request is quarantined because endpoints crashed while they ran
  // it.
  bool IsQuarantined(const declare::Pipeline& pipeline,
                     const std::string& digest,
                     base::TimePoint now);
  // Ends the queued runs of a request that has been quarantined meanwhile.
  void EndQuarantined(const std::string& digest, base::TimePoint now);
  void ExpireRun(ActiveRun& active, base::TimePoint now);
  // Answers the caller of a booking that was sent, and keeps its attempt open
  // for kBookingLinger to learn the outcome.
  void Linger(ActiveRun& active, base::TimePoint now);
  void EndLinger(ActiveRun& active,
                 const BookingOutcome& outcome,
                 base::TimePoint now);
  BookingOutcome LateOutcomeOf(const ActiveRun& active,
                               const EndpointAnswer& answer) const;
  // Ends the run with the endpoint's 4xx as the answer.
  void PassOnRefusal(ActiveRun& active,
                     const EndpointAnswer& answer,
                     base::TimePoint now);
  // Records a booking's answer; the caller is answered once it is durable.
  void Record(ActiveRun& active, BookingRan outcome, base::TimePoint now);
  void Succeed(ActiveRun& active, base::TimePoint now);
  void Fail(ActiveRun& active,
            int status,
            CallerError error,
            base::TimePoint now);
  // Reports the failure of a booking's run to the coordinator; returns what is
  // known of its execution.
  Executed ConcludeFailed(const ActiveRun& active, base::TimePoint now);
  // Answers the caller and removes the run.
  void End(ActiveRun& active, CallerAnswer answer, base::TimePoint now);
  // Answers the caller and records the run in the report.
  void Answer(ActiveRun& active, CallerAnswer answer, base::TimePoint now);
  void Forget(const ActiveRun& active);
  void Refuse(base::CallerId caller, int status, CallerError error);
  // Records a request that is refused before it becomes a run.
  void RecordRefused(const pipeline::RunRequest& request, base::TimePoint now);
  std::string RequestIdOf(base::RunId run) const;
  policy::PoolScheduler& PoolOf(const pipeline::Run& run);
  void NoteConfiguration(
      const std::shared_ptr<const declare::Configuration>& configuration);
  bool IsPoolDeclared(const base::PoolName& pool) const;

  NodeContext& context_;
  BookingCoordinator& bookings_;
  MembershipCoordinator& membership_;
  bool is_accepting_ = true;
  uint64_t last_run_ = 0;
  uint64_t last_attempt_ = 0;
  RunMap runs_;
  size_t lingering_count_ = 0;
  std::unordered_map<base::CallerId, base::RunId> callers_;
  // Keyed by attempt number.
  std::unordered_map<uint64_t, base::RunId> attempts_;
  std::set<std::pair<base::TimePoint, base::RunId>> deadlines_;
  // Adaptive timeouts of the attempts in flight, by attempt number.
  std::set<std::pair<base::TimePoint, uint64_t>> attempt_timeouts_;
  policy::AttemptTimeouts timeout_estimator_;
  std::map<base::PoolName, policy::PoolScheduler> pools_;
  std::map<base::PoolName, policy::RetryBudget> retry_budgets_;
  policy::Quarantine quarantine_;
  report::ServiceRecorder recorder_;
  std::weak_ptr<const declare::Configuration> current_configuration_;
  // Previous configurations; each is kept alive by the runs that began with it.
  std::vector<std::weak_ptr<const declare::Configuration>>
      former_configurations_;
};

}  // namespace bilberry::node
