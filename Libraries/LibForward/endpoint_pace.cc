#include "LibForward/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace bilberry::forward {

double EndpointPace::DecayingMean::DecayAt(base::TimePoint now) const {
  const base::Duration age = std::max(now - updated, base::Duration(0));
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(memory));
}

void EndpointPace::DecayingMean::Note(double value, base::TimePoint now) {
  const double decay = DecayAt(now);
  sum = sum * decay + value;
  weight = weight * decay + 1;
  updated = now;
}

double EndpointPace::DecayingMean::At(base::TimePoint now) const {
  const double decay = DecayAt(now);
  return sum * decay / (weight * decay + prior_weight);
}

void EndpointPace::Note(double ratio, base::TimePoint now) {
  const double sample = std::log(std::clamp(ratio, kMin, kMax));
  fast_.Note(sample - slow_.At(now), now);
  slow_.Note(sample, now);
}

double EndpointPace::At(base::TimePoint now) const {
  return std::clamp(std::exp(slow_.At(now) + fast_.At(now)), kMin, kMax);
}

}  // namespace bilberry::forward
