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

// How a run took an answer to one of its attempts.
enum class Acceptance {
  kIgnored,  // The attempt is not the run's current one.
  kNextStage,
  kFinished,
};

// Whether a failed attempt may have executed the stage.
enum class AttemptEffect { kNotRun, kUnknown };

// One run of a pipeline: executes the stages in order, one attempt at a time. A
// run uses the configuration that it began with until its end.
class Run {
 public:
  // `pipeline` must belong to `configuration`.
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

  // The input of the current stage: the request's body for the first one, then
  // the previous stage's answer.
  const std::string& input() const { return input_; }

  // The attempt in flight, if any.
  const std::optional<base::AttemptId>& attempt() const { return attempt_; }
  const base::EndpointName& attempt_endpoint() const { return endpoint_; }
  base::TimePoint attempt_began() const { return attempt_began_; }

  // Requires that no attempt is in flight.
  void BeginAttempt(const base::AttemptId& attempt,
                    base::EndpointName endpoint,
                    base::TimePoint now);

  // Takes the complete answer of the current stage. After kFinished, input() is
  // the answer of the last stage.
  Acceptance AcceptAnswer(const base::AttemptId& attempt, std::string body);

  // Takes the endpoint's 4xx as the answer of a stage that executed; false when
  // the attempt is not the current one.
  bool AcceptRefusal(const base::AttemptId& attempt);

  // Ends the attempt without an answer; false when it is not the current one.
  bool FailAttempt(const base::AttemptId& attempt, AttemptEffect effect);

  // True when the current stage may be executed at most once.
  bool is_at_most_once_stage() const {
    return stage().repeatability == declare::Repeatability::kAtMostOnce;
  }

  // Whether any stage has executed, over all stages so far.
  Executed executed() const;

  // True once an at-most-once stage has been sent, unless it certainly did not
  // execute.
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
  // Covers attempts that have ended; the attempt in flight is not counted.
  bool may_have_run_at_most_once_stage_ = false;
};

}  // namespace bilberry::pipeline
