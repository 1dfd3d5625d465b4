#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::report {

// Counts durations from 10 us to 100 s in bins that grow by a fixed factor, so
// that a quantile is off by 3% at most. Durations outside are counted at the
// ends.
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

  // The bins that hold something, for another host to merge. Indices go from
  // -1 (below the range) to the number of bins (above it).
  struct Bin {
    int index = 0;
    uint64_t count = 0;
  };
  std::vector<Bin> FilledBins() const;
  // False, and nothing done, when there is no such bin.
  bool AddBin(const Bin& bin);

  uint64_t count() const;
  // The duration that this fraction, from 0 to 1, does not exceed; 0 when
  // nothing was recorded.
  base::Duration Quantile(double fraction) const;

 private:
  // Boost.Histogram is heavy to compile, so that it stays in the source.
  struct Bins;
  std::unique_ptr<Bins> bins_;
};

}  // namespace bilberry::report
