#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibDeclare/configuration.h"
#include "LibPipeline/executed.h"
#include "LibPipeline/run_request.h"

namespace bilberry::pipeline {

// What became of an answer that was offered to a run.
enum class Acceptance {
  kIgnored,  // Of an attempt that the run no longer waits for.
  kNextStage,
  kFinished,
};

// Whether a failed attempt may have had an effect.
enum class AttemptEffect { kNotRun, kUnknown };

// One run of a pipeline: its stages in order, one attempt at a time. It keeps
// the configuration that it began with to its end.
class Run {
 public:
  // `pipeline` belongs to `configuration`.
  Run(base::RunId id,
      std::shared_ptr<const declare::Configuration> configuration,
      const declare::Pipeline& pipeline,
      RunRequest request,
      base::TimePoint arrived);

  base::RunId id() const { return id_; }
  const RunRequest& request() const { return request_; }
  const declare::Pipeline& pipeline() const { return pipeline_; }
  const declare::Stage& stage() const { return pipeline_.stages[stage_index_]; }
  size_t stage_index() const { return stage_index_; }
  bool is_last_stage() const {
    return stage_index_ + 1 == pipeline_.stages.size();
  }
  base::TimePoint arrived() const { return arrived_; }
  base::TimePoint deadline() const { return arrived_ + request_.budget; }

  // What the present stage is given: the request's body, then each stage's
  // answer.
  const std::string& input() const { return input_; }

  // The attempt that the run waits for, if any.
  const std::optional<base::AttemptId>& attempt() const { return attempt_; }
  const base::EndpointName& attempt_endpoint() const { return endpoint_; }
  base::TimePoint attempt_began() const { return attempt_began_; }

  // Requires that no attempt is under way.
  void BeginAttempt(const base::AttemptId& attempt,
                    base::EndpointName endpoint,
                    base::TimePoint now);

  // Takes the whole answer of the present stage; after kFinished, input() is
  // the answer of the last.
  Acceptance AcceptAnswer(const base::AttemptId& attempt, std::string body);

  // Takes the endpoint's refusal as the answer of a stage that ran; false when
  // the attempt isn't the present one.
  bool AcceptRefusal(const base::AttemptId& attempt);

  // Ends the attempt without an answer; false when it isn't the present one.
  bool FailAttempt(const base::AttemptId& attempt, AttemptEffect effect);

  // True when the present stage may not be repeated.
  bool is_at_most_once_stage() const {
    return stage().repeatability == declare::Repeatability::kAtMostOnce;
  }

  // Over all stages.
  Executed executed() const;

  // True once a stage that may not be repeated has been sent and wasn't surely
  // left undone.
  bool may_have_run_at_most_once_stage() const;

 private:
  base::RunId id_;
  std::shared_ptr<const declare::Configuration> configuration_;
  const declare::Pipeline& pipeline_;
  RunRequest request_;
  base::TimePoint arrived_;
  std::string input_;
  size_t stage_index_ = 0;
  std::optional<base::AttemptId> attempt_;
  base::EndpointName endpoint_;
  base::TimePoint attempt_began_;
  bool any_stage_ran_ = false;
  bool any_attempt_unresolved_ = false;
  bool any_booking_ran_ = false;  // Or may have.
};

}  // namespace bilberry::pipeline
