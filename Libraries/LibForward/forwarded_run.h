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
#include "LibForward/permit_coordinator.h"
#include "LibForward/stage_job_router.h"

namespace bilberry::forward {

enum class StagePhase { kWaiting, kAsked, kDone };

struct StageState {
  StagePhase phase = StagePhase::kWaiting;
  uint32_t pieces = 0;  // 0: the request leaves the stage out.
  JobRequestId ask{};
  base::TimePoint asked;
  base::Duration time_after{};  // As expected when it was asked for.
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
  bool has_begun = false;  // Whether its answer has begun to stream.
};

// What the head of a streamed answer tells of what follows.
struct StreamKind {
  int status = 0;
  std::string media_type;  // Without parameters, in lower case.

  friend bool operator==(const StreamKind&, const StreamKind&) = default;
};

StreamKind StreamKindOf(const AnswerHead& head);

// What a request has come to: its stages, its attempt and its stream. Holds
// the configuration that it began with.
struct ForwardedRun {
  std::shared_ptr<const ForwardedRequest> request;
  std::shared_ptr<const ForwardConfiguration> configuration;
  const ForwardedPipeline* pipeline = nullptr;
  std::optional<base::TeamName> team;
  Urgency urgency = Urgency::kMost;
  base::TimePoint arrived;
  base::TimePoint target;
  base::TimePoint deadline;  // The caller's or the pipeline's, whichever first.
  // By when the answer must have begun.
  base::TimePoint begin_deadline;
  base::PoolName final_pool;
  base::ZoneName final_zone;      // Where the request will probably run.
  Cell cell;                      // Where its next stages are made.
  std::vector<Cell> cells_tried;  // By a stage that has no results yet.
  std::vector<StageState> stages;
  // When a stage that would be done too early is looked at again.
  std::optional<base::TimePoint> recheck_at;
  std::optional<PermitRequestId> permit_ask;  // Under way.
  std::optional<HeldPermit> permit;
  std::optional<FinalAttempt> attempt;
  std::vector<base::EndpointName> tried;
  uint32_t runs = 0;  // Attempts that may have run.
  bool has_begun_stream = false;
  // Of the head that began the stream; who goes on with it has the same.
  StreamKind stream_kind;
  std::optional<base::TimePoint> first_byte;  // Of the answer.
  std::optional<std::string> last_event;
  // Whether data has been passed on behind it without an id: nobody can be
  // asked for the rest.
  bool has_unnamed_data = false;

  bool may_have_run() const { return attempt || runs > 0; }
  // Stages whose inputs are there and that have not been asked for.
  std::vector<size_t> ReadyStages() const;
  // When the stages that don't read this one's results will be done, if each
  // takes the time that `time_of` gives; `now` if they are.
  base::TimePoint EndOfOthers(
      size_t stage,
      base::TimePoint now,
      const std::function<base::Duration(size_t)>& time_of) const;
  bool AreStagesDone() const;
  // Whether any stage is done that the request needs.
  bool HasBegun() const;
  // What a stage reads.
  std::vector<StageResult> InputsOf(size_t stage) const;
  // When the first of them is dropped; empty when it reads none.
  std::optional<base::TimePoint> InputsExpireAt(size_t stage) const;
  // What the request itself reads: the results that no stage reads.
  std::vector<StageResult> FinalInputs() const;
  // What one piece of a stage reads, and what is read of its result, about.
  uint64_t BytesMoved(size_t stage) const;
  // Whether every stage that reads this one's results is done.
  bool IsReadByAll(size_t stage) const;
  // What is left to do after a stage, without the request itself.
  base::Duration TimeAfter(
      size_t stage,
      const std::function<base::Duration(size_t)>& time_of) const;
};

// What a request itself takes at the least, from its sending to its first byte.
inline constexpr std::chrono::milliseconds kMinFinalTime{60};

// What the calls for so many pieces take at an idle pool.
base::Duration CallTimeOf(const PieceLimits& limits, uint32_t pieces);

// The state of a run that has done nothing yet.
std::vector<StageState> InitialStages(const ForwardedPipeline& pipeline,
                                      const ForwardedRequest& request);

}  // namespace bilberry::forward
