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

// Takes callers' requests through their stages to one answer each.
class RunCoordinator {
 public:
  RunCoordinator(NodeContext& context,
                 BookingCoordinator& bookings,
                 MembershipCoordinator& membership)
      : context_(context), bookings_(bookings), membership_(membership) {}

  void HandleRequest(const CallerRequest& request, base::TimePoint now);
  void HandleCallerLeft(base::CallerId caller, base::TimePoint now);
  void HandleSending(const EndpointSending& sending);
  void HandleChunk(const EndpointChunk& chunk, base::TimePoint now);
  void HandleAnswer(const EndpointAnswer& answer, base::TimePoint now);
  void HandleFailure(const EndpointFailure& failure, base::TimePoint now);
  void HandleDecision(const BookingDecision& decision, base::TimePoint now);
  void HandleTimer(base::TimePoint now);

  // Takes what a peer has told of its load.
  void HandleDigest(const Digest& digest, base::TimePoint now);
  // Adds what this host has at each pool.
  void FillDigest(Digest& digest) const;

  // Takes over the configuration and hosts as they are known now.
  void Refresh(base::TimePoint now);
  // Forgets pools that neither the present configuration declares nor that of
  // any run under way.
  void DropUnusedPools();

  // Sends what waits to where there is room.
  void DispatchAll(base::TimePoint now);

  void StopAccepting() { is_accepting_ = false; }
  bool is_accepting() const { return is_accepting_; }
  size_t run_count() const { return runs_.size(); }
  size_t lingering_count() const { return lingering_count_; }
  std::vector<policy::PoolLoad> Loads() const;
  const report::ServiceRecorder& recorder() const { return recorder_; }
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  // A booking's run waits in kRecording until its answer is safe.
  enum class Phase { kClaiming, kQueued, kSent, kRecording };

  struct ActiveRun {
    pipeline::Run run;
    base::CallerId caller{};
    std::string digest;  // Of the request.
    Phase phase = Phase::kQueued;
    bool has_stream_begun = false;
    // Of the present stage: how often it was sent, and where that failed.
    uint32_t tries = 0;
    std::vector<base::EndpointName> avoided{};
    // Of the present attempt.
    ConnectionAge connection = ConnectionAge::kFresh;
    bool has_answer_begun = false;
    uint64_t resume_offset = 0;
    uint64_t streamed_bytes = 0;  // Given to the caller, of all attempts.
    base::TimePoint stage_offered = {};
    std::vector<report::StageTime> attempts = {};  // Those that have ended.
    // Answered at its deadline; the attempt is kept open for the outcome.
    bool is_lingering = false;
    base::TimePoint lapses{};
  };

  enum class RetryRule {
    kFromBudget,
    // The endpoint has left the pool and refuses each request only once.
    kFree,
  };

  // Where a retry may go.
  enum class RetryPlace {
    kOtherEndpoint,
    kAnyEndpoint,  // The connection was at fault.
  };

  struct AttemptFailure {
    pipeline::AttemptEffect effect = pipeline::AttemptEffect::kUnknown;
    policy::AttemptVerdict verdict = policy::AttemptVerdict::kFailed;
    RetryRule retry = RetryRule::kFromBudget;
    RetryPlace place = RetryPlace::kOtherEndpoint;
    CallerError error;
  };

  using Executed = pipeline::Executed;
  using RunMap = std::unordered_map<base::RunId, ActiveRun>;

  void Admit(const CallerRequest& request,
             pipeline::RunRequest checked,
             const std::shared_ptr<const declare::Configuration>& configuration,
             base::TimePoint now);
  // Whether a new run can meet its deadline.
  policy::AdmissionDecision DecideAdmission(const pipeline::Run& run,
                                            base::TimePoint now) const;
  // What the stages after the present one are expected to take.
  base::Duration ServiceAfter(const pipeline::Run& run,
                              base::TimePoint now) const;
  // True when the run has been refused, since all endpoints of its first pool
  // want to be left alone.
  bool RefuseWhileQuiet(ActiveRun& active, base::TimePoint now);
  void OfferStage(ActiveRun& active, base::TimePoint now);
  // Ends a run of which nothing is under way, and tells when to come back.
  void GiveUp(ActiveRun& active, CallerError error, base::TimePoint now);
  void StartAttempt(const policy::Dispatch& dispatch,
                    policy::PoolScheduler& pool,
                    base::TimePoint now);
  // Null when nobody waits for this attempt any more.
  ActiveRun* FindByAttempt(const base::AttemptId& attempt);
  void ReportAttempt(ActiveRun& active,
                     policy::AttemptVerdict verdict,
                     std::optional<uint32_t> load,
                     base::TimePoint now);
  static AttemptFailure FailureOf(const EndpointAnswer& answer,
                                  const base::EndpointName& endpoint);
  // Sends the stage to another endpoint if it may, else ends the run.
  void FailAttempt(ActiveRun& active,
                   AttemptFailure failure,
                   base::TimePoint now);
  // Queues the stage again; requires MayRetry().
  void Retry(ActiveRun& active,
             const AttemptFailure& failure,
             base::TimePoint now);
  // Gives up an attempt that takes far longer than usual, if it may be retried.
  void GiveUpAttempt(ActiveRun& active, base::TimePoint now);
  void GiveUpSlowAttempts(base::TimePoint now);
  // Ends a stream whose rest can't be had from where the caller has it.
  void EndUnresumed(ActiveRun& active, base::TimePoint now);
  void RetireConnections(const ActiveRun& active);
  bool MayGiveUp(const ActiveRun& active) const;
  base::TimePoint GiveUpTime(const ActiveRun& active) const;
  bool MayRetry(const ActiveRun& active,
                const AttemptFailure& failure,
                base::TimePoint now) const;
  // Whether a live endpoint has not failed the present stage yet.
  bool HasOtherEndpoint(const ActiveRun& active) const;
  void CancelAttempt(ActiveRun& active,
                     policy::AttemptVerdict verdict,
                     base::TimePoint now);
  // Whether this host refuses the request because of the endpoints it crashed.
  bool IsQuarantined(const declare::Pipeline& pipeline,
                     const std::string& digest,
                     base::TimePoint now);
  // Ends the runs of a request that is refused by now and still waits.
  void EndQuarantined(const std::string& digest, base::TimePoint now);
  void Lapse(ActiveRun& active, base::TimePoint now);
  // Answers a sent booking's caller, and leaves its attempt open for a while.
  void Linger(ActiveRun& active, base::TimePoint now);
  void EndLinger(ActiveRun& active,
                 const BookingOutcome& outcome,
                 base::TimePoint now);
  BookingOutcome LateOutcomeOf(const ActiveRun& active,
                               const EndpointAnswer& answer) const;
  // The endpoint's own 4xx ends the run and is its answer.
  void PassOnRefusal(ActiveRun& active,
                     const EndpointAnswer& answer,
                     base::TimePoint now);
  // Has a booking's answer recorded; the caller is answered after.
  void Record(ActiveRun& active, BookingRan outcome, base::TimePoint now);
  void Succeed(ActiveRun& active, base::TimePoint now);
  void Fail(ActiveRun& active,
            int status,
            CallerError error,
            base::TimePoint now);
  // Tells the ledger that a booking's run failed; returns what may be said.
  Executed ConcludeFailed(const ActiveRun& active, base::TimePoint now);
  // Answers the caller and forgets the run.
  void End(ActiveRun& active, CallerAnswer answer, base::TimePoint now);
  // Answers the caller, and counts the run in the report.
  void Answer(ActiveRun& active, CallerAnswer answer, base::TimePoint now);
  void Forget(const ActiveRun& active);
  void Refuse(base::CallerId caller, int status, CallerError error);
  // Counts a request that is turned away before it becomes a run.
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
  std::unordered_map<uint64_t, base::RunId> attempts_;  // By attempt number.
  std::set<std::pair<base::TimePoint, base::RunId>> deadlines_;
  // When to give up which attempt, by its number.
  std::set<std::pair<base::TimePoint, uint64_t>> attempt_limits_;
  policy::AttemptTimeouts usual_times_;
  std::map<base::PoolName, policy::PoolScheduler> pools_;
  std::map<base::PoolName, policy::RetryBudget> retry_budgets_;
  policy::Quarantine quarantine_;
  report::ServiceRecorder recorder_;
  std::weak_ptr<const declare::Configuration> present_configuration_;
  // Those before it; each is kept alive by the runs that began under it.
  std::vector<std::weak_ptr<const declare::Configuration>>
      former_configurations_;
};

}  // namespace bilberry::node
