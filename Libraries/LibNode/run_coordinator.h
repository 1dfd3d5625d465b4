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
#include "LibPolicy/pool_scheduler.h"
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
  void HandleChunk(const EndpointChunk& chunk);
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

  // Sends what waits to where there is room.
  void DispatchAll(base::TimePoint now);

  void StopAccepting() { is_accepting_ = false; }
  bool is_accepting() const { return is_accepting_; }
  size_t run_count() const { return runs_.size(); }
  std::vector<policy::PoolLoad> Loads() const;
  const report::ServiceRecorder& recorder() const { return recorder_; }
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  enum class Phase { kClaiming, kQueued, kSent };

  struct ActiveRun {
    pipeline::Run run;
    base::CallerId caller{};
    Phase phase = Phase::kQueued;
    bool has_stream_begun = false;
    base::TimePoint stage_offered = {};
    std::vector<report::StageTime> attempts = {};  // Those that have ended.
  };

  using RunMap = std::unordered_map<base::RunId, ActiveRun>;

  void Admit(const CallerRequest& request,
             pipeline::RunRequest checked,
             const std::shared_ptr<const declare::Configuration>& configuration,
             base::TimePoint now);
  void OfferStage(ActiveRun& active, base::TimePoint now);
  void StartAttempt(const policy::Dispatch& dispatch,
                    policy::PoolScheduler& pool,
                    base::TimePoint now);
  // Null when nobody waits for this attempt any more.
  ActiveRun* FindByAttempt(const base::AttemptId& attempt);
  void ReportAttempt(ActiveRun& active,
                     policy::AttemptVerdict verdict,
                     std::optional<uint32_t> load,
                     base::TimePoint now);
  void FailAttempt(ActiveRun& active,
                   pipeline::AttemptEffect effect,
                   policy::AttemptVerdict verdict,
                   CallerError error,
                   base::TimePoint now);
  void CancelAttempt(ActiveRun& active,
                     policy::AttemptVerdict verdict,
                     base::TimePoint now);
  void Lapse(ActiveRun& active, base::TimePoint now);
  void Succeed(ActiveRun& active, base::TimePoint now);
  void Fail(ActiveRun& active,
            int status,
            CallerError error,
            base::TimePoint now);
  // Tells the ledger how the run ended, answers the caller and forgets it.
  void End(ActiveRun& active, CallerAnswer answer, base::TimePoint now);
  BookingOutcome OutcomeOf(const ActiveRun& active,
                           const CallerAnswer& answer) const;
  void Refuse(base::CallerId caller, int status, CallerError error);
  // Counts a request that is turned away before it becomes a run.
  void RecordRefused(const pipeline::RunRequest& request, base::TimePoint now);
  std::string RequestIdOf(base::RunId run) const;
  policy::PoolScheduler& PoolOf(const pipeline::Run& run);

  NodeContext& context_;
  BookingCoordinator& bookings_;
  MembershipCoordinator& membership_;
  bool is_accepting_ = true;
  uint64_t last_run_ = 0;
  uint64_t last_attempt_ = 0;
  RunMap runs_;
  std::unordered_map<base::CallerId, base::RunId> callers_;
  std::unordered_map<uint64_t, base::RunId> attempts_;  // By attempt number.
  std::set<std::pair<base::TimePoint, base::RunId>> deadlines_;
  std::map<base::PoolName, policy::PoolScheduler> pools_;
  report::ServiceRecorder recorder_;
};

}  // namespace bilberry::node
