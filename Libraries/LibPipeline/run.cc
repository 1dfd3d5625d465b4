#include "LibPipeline/run.h"

#include <cassert>
#include <utility>

namespace bilberry::pipeline {

Run::Run(base::RunId id,
         std::shared_ptr<const declare::Configuration> configuration,
         const declare::Pipeline& pipeline,
         RunRequest request,
         base::TimePoint arrived)
    : id_(id),
      configuration_(std::move(configuration)),
      pipeline_(pipeline),
      request_(std::move(request)),
      arrived_(arrived),
      input_(request_.body) {}

void Run::BeginAttempt(const base::AttemptId& attempt,
                       base::EndpointName endpoint,
                       base::TimePoint now) {
  assert(!attempt_);
  attempt_ = attempt;
  endpoint_ = std::move(endpoint);
  attempt_began_ = now;
}

Acceptance Run::AcceptAnswer(const base::AttemptId& attempt, std::string body) {
  if (attempt_ != attempt)
    return Acceptance::kIgnored;
  attempt_.reset();
  any_stage_ran_ = true;
  may_have_run_at_most_once_stage_ =
      may_have_run_at_most_once_stage_ || is_at_most_once_stage();
  input_ = std::move(body);
  if (is_last_stage())
    return Acceptance::kFinished;
  ++stage_index_;
  return Acceptance::kNextStage;
}

bool Run::AcceptRefusal(const base::AttemptId& attempt) {
  if (attempt_ != attempt)
    return false;
  attempt_.reset();
  any_stage_ran_ = true;
  may_have_run_at_most_once_stage_ =
      may_have_run_at_most_once_stage_ || is_at_most_once_stage();
  return true;
}

bool Run::FailAttempt(const base::AttemptId& attempt, AttemptEffect effect) {
  if (attempt_ != attempt)
    return false;
  attempt_.reset();
  if (effect == AttemptEffect::kUnknown) {
    any_attempt_unresolved_ = true;
    may_have_run_at_most_once_stage_ =
        may_have_run_at_most_once_stage_ || is_at_most_once_stage();
  }
  return true;
}

bool Run::may_have_run_at_most_once_stage() const {
  return may_have_run_at_most_once_stage_ ||
         (attempt_ && is_at_most_once_stage());
}

Executed Run::executed() const {
  if (any_attempt_unresolved_ || attempt_)
    return Executed::kUnknown;
  return any_stage_ran_ ? Executed::kYes : Executed::kNo;
}

}  // namespace bilberry::pipeline
