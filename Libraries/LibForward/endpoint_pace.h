#pragma once

#include "LibBase/time.h"

namespace bilberry::forward {

// How long work takes at one endpoint, relative to the mean of its domain: a
// slow mean follows the speed of the endpoint, a fast one its slowdowns of some
// hundred milliseconds. Both return to the domain's mean without samples.
class EndpointPace {
 public:
  static constexpr double kMin = 0.25;
  static constexpr double kMax = 8;

  // Work that takes an average endpoint one unit of time took `ratio` here.
  void Note(double ratio, base::TimePoint now);
  // Between kMin and kMax; 1 before any sample.
  double At(base::TimePoint now) const;

 private:
  // Mean of samples whose weights decay with time.
  struct DecayingMean {
    base::Duration memory;
    double prior_weight;  // Of the value 0.
    double sum = 0;
    double weight = 0;
    base::TimePoint updated{};

    void Note(double value, base::TimePoint now);
    double At(base::TimePoint now) const;
    double DecayAt(base::TimePoint now) const;
  };

  // Logarithms, so that half and double the speed count alike.
  DecayingMean slow_{std::chrono::seconds(10), 2};
  DecayingMean fast_{std::chrono::milliseconds(600), 1};  // Beyond `slow_`.
};

}  // namespace bilberry::forward
