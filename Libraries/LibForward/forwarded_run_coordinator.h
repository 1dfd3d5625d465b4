#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "LibBase/random.h"
#include "LibForward/admission_control.h"
#include "LibForward/endpoint_chooser.h"
#include "LibForward/forward_context.h"
#include "LibForward/forwarded_run.h"
#include "LibForward/permit_coordinator.h"
#include "LibForward/retry_budgets.h"
#include "LibForward/run_permits.h"
#include "LibForward/run_time_estimator.h"
#include "LibForward/run_timers.h"
#include "LibForward/stage_job_router.h"

namespace bilberry::forward {

// Callers' requests from their arrival to their answer: stages first, then the
// request itself, with its attempts and its stream.
class ForwardedRunCoordinator {
 public:
  ForwardedRunCoordinator(ForwardContext& context,
                          StageJobRouter& stages,
                          PermitCoordinator& permits);

  void SetConfiguration(
      std::shared_ptr<const ForwardConfiguration> configuration) {
    door_.SetConfiguration(std::move(configuration));
  }
  void SetEndpoints(std::span<const ListedEndpoint> endpoints) {
    chooser_.SetEndpoints(endpoints);
  }
  // How many hosts there are: each may save up its part of the retries.
  void SetFleetSize(size_t hosts) { budgets_.SetFleetSize(hosts); }
  // From now on requests are refused as not run.
  void StopAccepting() { door_.StopAccepting(); }
  bool is_accepting() const { return door_.is_accepting(); }

  void Handle(ForwardedRequest request, base::TimePoint now);
  void Handle(const CallerDisconnected& event, base::TimePoint now);
  void NoteBackoffEnded(const base::EndpointName& endpoint,
                        base::TimePoint now) {
    chooser_.NoteBackoffEnded(endpoint, now);
  }
  void Handle(AttemptChunk event, base::TimePoint now);
  void Handle(AttemptAnswer event, base::TimePoint now);
  void Handle(const AttemptFailure& event, base::TimePoint now);

  // Takes on the outcomes of stages, and of questions for permits.
  void Settle(base::TimePoint now);
  // Ends the runs whose deadline has passed.
  void HandleTimer(base::TimePoint now);
  // Ends all runs, for a host that must go.
  void EndAll(base::TimePoint now);

  std::optional<base::TimePoint> NextWakeup() const {
    return timers_.NextWakeup();
  }
  size_t run_count() const { return runs_.size(); }

 private:
  // What an answer means for its run.
  enum class AnswerMeaning {
    kPass,     // The caller's answer.
    kNotRun,   // The endpoint refused it.
    kInvalid,  // Not this request's answer, or not the endpoint's.
    kFailed,   // An error of the endpoint's that another may not make.
  };

  using Runs = std::map<base::CallerId, ForwardedRun>;

  void Advance(base::CallerId caller, base::TimePoint now);
  void AskForStage(base::CallerId caller,
                   ForwardedRun& run,
                   size_t stage,
                   base::TimePoint now);
  // Asks another cell for a stage that this one can't make; false if none is
  // left, or if it would do no better.
  bool AskElsewhere(base::CallerId caller,
                    size_t stage,
                    const JobFailure& failure,
                    base::TimePoint now);
  void TakeResults(base::CallerId caller,
                   size_t stage,
                   LocatedResults results,
                   base::TimePoint now);
  void LogStage(const ForwardedRun& run,
                size_t stage,
                const JobRequestOutcome& outcome,
                base::TimePoint now);
  void SettleStages(base::TimePoint now);
  // False when there was none.
  bool SettlePermits(base::TimePoint now);
  // Whether the run has a permit that it is to wait for or goes with.
  bool SendWithPermit(base::CallerId caller, base::TimePoint now);
  void SendFinal(base::CallerId caller, base::TimePoint now);
  void SendTo(const ListedEndpoint& endpoint,
              base::CallerId caller,
              base::TimePoint now);
  // All endpoints want to be left alone: waits for the first, or ends the run.
  void WaitForQuiet(base::CallerId caller,
                    base::TimePoint until,
                    base::TimePoint now);
  // What a refused caller of this pool is to wait at the least.
  base::Duration RetryAfterRefusal(const ForwardedRun& run,
                                   base::TimePoint now) const;
  AnswerMeaning Judge(const ForwardedRun& run, const AnswerHead& head) const;
  void BeginPassing(ForwardedRun& run, AnswerHead head, base::TimePoint now);
  // Ends the attempt without an answer for the caller.
  void LoseAttempt(base::CallerId caller,
                   AttemptOutcome verdict,
                   std::string reason,
                   base::TimePoint now);
  bool MaySendAgain(const ForwardedRun& run, AttemptOutcome verdict);
  void EndAttempt(ForwardedRun& run,
                  AttemptOutcome verdict,
                  base::TimePoint now);
  void ReleaseAll(ForwardedRun& run, base::TimePoint now);
  void ReleaseStage(StageState& stage, base::TimePoint now);
  void AnswerAndEnd(base::CallerId caller,
                    LocalAnswerCode code,
                    std::optional<base::Duration> retry_after,
                    base::TimePoint now);
  // Forgets a run that has been answered or that nobody waits for.
  void Finish(base::CallerId caller, std::string outcome, base::TimePoint now);
  std::optional<base::CallerId> CallerOf(const base::AttemptId& attempt) const;

  ForwardContext& context_;
  StageJobRouter& stage_job_router_;
  EndpointChooser chooser_;
  base::Random random_;
  AdmissionControl door_;
  RunPermits permits_;
  RetryBudgets budgets_;
  RunTimers timers_;
  Runs runs_;
  std::map<JobRequestId, std::pair<base::CallerId, size_t>> asks_;
  std::unordered_map<uint64_t, base::CallerId> attempts_;  // By number.
  RunTimeEstimator run_times_;
  uint64_t last_attempt_ = 0;
};

}  // namespace bilberry::forward
