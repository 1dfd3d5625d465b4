#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibForward/event_splitter.h"
#include "LibForward/forward_configuration.h"
#include "LibForward/forward_event.h"
#include "LibForward/forwarded_request.h"
#include "LibForward/pause_tracker.h"
#include "LibForward/permit_coordinator.h"
#include "LibForward/placement.h"
#include "LibForward/stage_job_router.h"
#include "LibPolicy/quarantine.h"

namespace bilberry::forward {

enum class StagePhase { kWaiting, kRequested, kDone };

struct StageState {
  StagePhase phase = StagePhase::kWaiting;
  uint32_t pieces = 0;  // 0 if the request skips the stage.
  JobRequestId job_request{};
  base::TimePoint requested_at;
  // Expected remaining time after this stage, as estimated when the stage was
  // requested.
  base::Duration time_after{};
  base::TimePoint done;
  std::optional<LocatedResults> results;
};

// One attempt of the request itself at an endpoint of the final pool.
struct FinalAttempt {
  base::AttemptId id;
  base::EndpointName endpoint;
  base::SocketAddress address;
  base::TimePoint sent;
  EventSplitter splitter;
  bool has_begun = false;   // Whether the answer has begun to stream.
  bool has_event = false;   // Whether a whole event of the stream has arrived.
  bool is_suspect = false;  // Whether the request may crash endpoints.
  // Set if the endpoint was chosen by its placement owner.
  std::optional<PlacementRequestId> placement = std::nullopt;
  PauseTracker pauses = {};
  std::string software_version = {};  // Of the endpoint.
  // Bytes of whole events without data since the last one with data.
  size_t bytes_without_data = 0;
};

// A placement that the run has not used yet.
struct HeldPlacement {
  PlacementRequestId id{};
  base::HostName owner;
  Placed placed;
  base::Duration asked_for{};  // How long the owner's answer took.
};

// Properties of a streamed answer that a resumed stream has to match.
struct StreamKind {
  int status = 0;
  std::string media_type;  // Without parameters, in lower case.

  friend bool operator==(const StreamKind&, const StreamKind&) = default;
};

StreamKind StreamKindOf(const AnswerHead& head);

// State of one request: its stages, its attempt and its stream. Keeps the
// configuration under which the request was admitted.
struct ForwardedRun {
  std::shared_ptr<const ForwardedRequest> request;
  std::shared_ptr<const ForwardConfiguration> configuration;
  const ForwardedPipeline* pipeline = nullptr;
  std::optional<base::TeamName> team;
  std::string digest;  // Of the request's content, equal for its repeats.
  // The shared parts of its prompt, by which it may crash endpoints.
  std::vector<policy::CrashSuspect> parts;
  Urgency urgency = Urgency::kMost;
  base::TimePoint arrived;
  base::TimePoint target;
  // The caller's or the pipeline's, whichever is earlier.
  base::TimePoint deadline;
  // Deadline for the beginning of the answer.
  base::TimePoint begin_deadline;
  base::PoolName final_pool;
  base::ZoneName final_zone;  // Zone in which the request will probably run.
  Cell cell;                  // Cell that runs the next stages.
  std::vector<Cell> cells_tried;  // Cells tried for the current stage.
  std::vector<StageState> stages;
  // When the run is advanced again, for example to start a stage that would
  // have been done too early.
  std::optional<base::TimePoint> recheck_at;
  std::optional<PermitRequestId> permit_request;  // Permit request in flight.
  std::optional<HeldPermit> permit;
  // Whether endpoints of the final zone are placed by an owner.
  bool uses_placement = false;
  // Whether a placement was requested for the next attempt.
  bool has_asked_placement = false;
  std::optional<PlacementRequestId> placement_request;  // In flight.
  std::optional<HeldPlacement> placement;
  std::optional<FinalAttempt> attempt;
  // Whether the request waits for the health check of an endpoint that may have
  // crashed under it.
  bool is_undecided = false;
  // Whether a peer carries the request, with its stages, because this host
  // can't reach the final pool's endpoints. An attempt is one at the peer that
  // was tried last then, and has no endpoint.
  bool uses_carrier = false;
  std::vector<base::HostName> carriers_tried;
  std::vector<base::EndpointName> tried;
  uint32_t runs = 0;  // Number of attempts that may have been executed.
  bool has_begun_stream = false;
  // Version of the endpoint at which the stream began, here or in an earlier
  // attempt of the caller. It goes on only at endpoints of this version. Empty
  // as long as it may begin at any.
  std::optional<std::string> stream_version;
  // Whether the store is being asked where the stream began that the request
  // takes up. The request isn't sent before.
  bool awaits_origin = false;
  // Format of the stream's first head; a resumed stream must have the same.
  StreamKind stream_kind;
  std::optional<base::TimePoint> first_byte;  // First byte of the answer.
  PauseTracker pauses;  // As the caller sees them, over all attempts.
  std::optional<std::string> last_event;
  // Whether data without an id was passed on after the last event id; the
  // stream can't be resumed then.
  bool has_unnamed_data = false;

  bool may_have_run() const { return attempt || runs > 0; }
  // The stream began in this pool, if the pipeline still uses it, and at this
  // version.
  void GoOnAt(const base::PoolName& pool, const std::string& version);
  // Whether the endpoint is of the version at which the stream began.
  bool FitsStream(const ListedEndpoint& endpoint) const {
    return !stream_version || endpoint.software_version == *stream_version;
  }
  // Returns the stages whose inputs are complete and that have not been
  // requested.
  std::vector<size_t> ReadyStages() const;
  // Returns when the stages that don't depend on this one will be done, if each
  // takes the time that `time_of` gives; `now` if they are done.
  base::TimePoint EndOfOthers(
      size_t stage,
      base::TimePoint now,
      const std::function<base::Duration(size_t)>& time_of) const;
  bool AreStagesDone() const;
  // Whether each stage has been requested or is done.
  bool AreStagesRequested() const;
  // Whether any stage that the request doesn't skip is done.
  bool HasBegun() const;
  // Returns the results that a stage reads.
  std::vector<StageResult> InputsOf(size_t stage) const;
  // Returns when the first of the stage's inputs expires; empty if it reads
  // none.
  std::optional<base::TimePoint> InputsExpireAt(size_t stage) const;
  // Returns the results that the final attempt reads: those that no stage
  // reads.
  std::vector<StageResult> FinalInputs() const;
  // Returns approximately how many bytes one piece of a stage reads, plus the
  // bytes that later stages read of its result.
  uint64_t BytesMoved(size_t stage) const;
  // Whether every stage that reads this one's results is done.
  bool IsReadByAll(size_t stage) const;
  // Returns the expected time of the longest chain of stages that follow this
  // one, without the final attempt.
  base::Duration TimeAfter(
      size_t stage,
      const std::function<base::Duration(size_t)>& time_of) const;
};

// Minimum time of a final attempt, from sending the request to the first byte
// of its answer.
inline constexpr std::chrono::milliseconds kMinFinalTime{60};

// Returns the time of a call for this many pieces at an idle endpoint.
base::Duration CallTimeOf(const PieceLimits& limits, uint32_t pieces);

// Returns the initial stage states of a request; skipped stages count as done.
std::vector<StageState> InitialStages(const ForwardedPipeline& pipeline,
                                      const ForwardedRequest& request);

}  // namespace bilberry::forward
