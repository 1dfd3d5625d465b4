#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::report {

// Log-scale histogram of durations from 10 us to 100 s. The bins grow by a
// constant factor, which bounds the error of a quantile to 3%. Durations out of
// range are counted in an underflow and an overflow bin.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram& operator=(const LatencyHistogram& other);
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Record(base::Duration duration);
  void Merge(const LatencyHistogram& other);

  // The nonempty bins, to be merged on another host. Indices go from -1
  // (underflow) to the number of bins (overflow).
  struct Bin {
    int index = 0;
    uint64_t count = 0;
  };
  std::vector<Bin> FilledBins() const;
  // Adds to a bin's count. Returns false and changes nothing if the index is
  // invalid.
  bool AddBin(const Bin& bin);

  uint64_t count() const;
  // The duration at this quantile, from 0 to 1; 0 if nothing was recorded.
  base::Duration Quantile(double fraction) const;

 private:
  // Keeps Boost.Histogram out of this header because it is slow to compile.
  struct Bins;
  std::unique_ptr<Bins> bins_;
};

}  // namespace bilberry::report
