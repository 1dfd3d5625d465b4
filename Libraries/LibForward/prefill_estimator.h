#pragma once

#include <cstdint>

#include "LibBase/time.h"

namespace bilberry::forward {

// A prefill that other streams on the endpoint notice.
inline constexpr uint64_t kLongPrefillTokens = 1000;

// Learns what prefills, streams and pauses take at an average endpoint of a
// placement domain. Performs no I/O and reads no clock.
class PrefillEstimator {
 public:
  PrefillEstimator();

  // An endpoint took `duration` for prefilling `tokens` and a first event.
  void NoteFirstEvent(uint64_t tokens, base::Duration duration);
  // The longest pause of a stream, converted to an endpoint of average pace.
  void NotePause(base::Duration pause, bool met_long_prefill);
  // Time from a run's first event to its end, likewise.
  void NoteStreamTime(base::Duration duration);

  base::Duration PrefillTimeOf(double tokens) const;
  base::Duration first_event_time() const;  // Without prefill.
  base::Duration PauseOf(bool meets_long_prefill) const;
  base::Duration stream_time() const;

 private:
  // Sums of a linear regression of time on tokens.
  struct Sums {
    double weight = 0;
    double tokens = 0;
    double time = 0;
    double tokens_squared = 0;
    double tokens_time = 0;

    void Add(double tokens, double time, double weight);
  };

  void Fit();

  Sums prior_;
  Sums samples_;  // Older ones count less.
  // Milliseconds.
  double per_token_;
  double first_event_;
  double quiet_pause_;
  double prefill_pause_;
  double stream_time_;
};

}  // namespace bilberry::forward
