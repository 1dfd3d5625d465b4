#include "LibForward/prefill_estimator.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double kPriorPerTokenMs = 0.025;
constexpr double kPriorFirstEventMs = 20;
constexpr double kPriorPauseMs = 50;
// Engines prefill long prompts in chunks of about this many tokens.
constexpr double kChunkTokens = 2000;
constexpr double kPriorStreamMs = 1000;
constexpr double kMinPerTokenMs = 0.0001;
constexpr double kMinFirstEventMs = 0.5;
// The regression has a memory of about 200 samples: a second of a busy domain.
constexpr double kRegressionDecay = 0.995;
// The prior keeps the weight of two samples, so that the regression has a
// solution if all prompts are alike.
constexpr double kPriorWeight = 1;
constexpr double kPriorLongTokens = 4000;
constexpr double kMaxRatio = 8;  // Of a sample to its expected value.
constexpr double kMeanWeight = 0.05;

double ToMs(base::Duration duration) {
  return Milliseconds(duration).count();
}

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(Milliseconds(ms));
}

void MoveTowards(double& mean, double sample) {
  mean += kMeanWeight * (std::min(sample, mean * kMaxRatio) - mean);
}

}  // namespace

void PrefillEstimator::Sums::Add(double n, double ms, double sample_weight) {
  weight += sample_weight;
  tokens += n * sample_weight;
  time += ms * sample_weight;
  tokens_squared += n * n * sample_weight;
  tokens_time += n * ms * sample_weight;
}

PrefillEstimator::PrefillEstimator()
    : per_token_(kPriorPerTokenMs),
      first_event_(kPriorFirstEventMs),
      quiet_pause_(kPriorPauseMs),
      prefill_pause_(kPriorPauseMs + kChunkTokens * kPriorPerTokenMs),
      stream_time_(kPriorStreamMs) {
  for (const double tokens : {0.0, kPriorLongTokens}) {
    const double expected = kPriorFirstEventMs + tokens * kPriorPerTokenMs;
    prior_.Add(tokens, expected, kPriorWeight / (expected * expected));
  }
}

// Weighted by the inverse square of the expected time, since endpoints' paces
// make samples deviate in proportion to it.
void PrefillEstimator::NoteFirstEvent(uint64_t tokens,
                                      base::Duration duration) {
  const auto n = static_cast<double>(tokens);
  const double expected = first_event_ + n * per_token_;
  const double ms =
      std::clamp(ToMs(duration), expected / kMaxRatio, expected * kMaxRatio);
  samples_.weight *= kRegressionDecay;
  samples_.tokens *= kRegressionDecay;
  samples_.time *= kRegressionDecay;
  samples_.tokens_squared *= kRegressionDecay;
  samples_.tokens_time *= kRegressionDecay;
  samples_.Add(n, ms, 1 / (expected * expected));
  Fit();
}

void PrefillEstimator::Fit() {
  const double weight = prior_.weight + samples_.weight;
  const double mean_tokens = (prior_.tokens + samples_.tokens) / weight;
  const double mean_time = (prior_.time + samples_.time) / weight;
  const double variance =
      (prior_.tokens_squared + samples_.tokens_squared) / weight -
      mean_tokens * mean_tokens;
  const double covariance =
      (prior_.tokens_time + samples_.tokens_time) / weight -
      mean_tokens * mean_time;
  if (variance <= 0)
    return;
  per_token_ = std::max(covariance / variance, kMinPerTokenMs);
  first_event_ =
      std::max(mean_time - per_token_ * mean_tokens, kMinFirstEventMs);
}

void PrefillEstimator::NotePause(base::Duration pause, bool met_long_prefill) {
  MoveTowards(met_long_prefill ? prefill_pause_ : quiet_pause_, ToMs(pause));
}

void PrefillEstimator::NoteStreamTime(base::Duration duration) {
  MoveTowards(stream_time_, ToMs(duration));
}

base::Duration PrefillEstimator::PrefillTimeOf(double tokens) const {
  return FromMs(tokens * per_token_);
}

base::Duration PrefillEstimator::first_event_time() const {
  return FromMs(first_event_);
}

base::Duration PrefillEstimator::PauseOf(bool meets_long_prefill) const {
  return FromMs(meets_long_prefill ? std::max(prefill_pause_, quiet_pause_)
                                   : quiet_pause_);
}

base::Duration PrefillEstimator::stream_time() const {
  return FromMs(stream_time_);
}

}  // namespace bilberry::forward
