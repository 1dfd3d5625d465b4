#include "LibReport/latency_histogram.h"

#include <boost/histogram.hpp>

namespace bilberry::report {

namespace {

namespace bh = boost::histogram;

constexpr double kLowestMicroseconds = 10.0;
constexpr double kHighestMicroseconds = 100e6;
constexpr unsigned kBinCount = 288;  // A factor of 1.057 from bin to bin.

auto MakeBins() {
  using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
  return bh::make_histogram_with(
      std::vector<uint64_t>(),
      LogAxis(kBinCount, kLowestMicroseconds, kHighestMicroseconds));
}

}  // namespace

struct LatencyHistogram::Bins {
  decltype(MakeBins()) histogram = MakeBins();
  uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram() : bins_(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : bins_(std::make_unique<Bins>(*other.bins_)) {}
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  if (this != &other)
    bins_ = std::make_unique<Bins>(*other.bins_);
  return *this;
}

void LatencyHistogram::Record(base::Duration duration) {
  bins_->histogram(static_cast<double>(duration.count()));
  ++bins_->count;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  bins_->histogram += other.bins_->histogram;
  bins_->count += other.bins_->count;
}

std::vector<LatencyHistogram::Bin> LatencyHistogram::FilledBins() const {
  std::vector<Bin> filled;
  for (auto&& bin : bh::indexed(bins_->histogram, bh::coverage::all)) {
    if (*bin > 0)
      filled.push_back({bin.index(), static_cast<uint64_t>(*bin)});
  }
  return filled;
}

bool LatencyHistogram::AddBin(const Bin& bin) {
  if (bin.index < -1 || bin.index > static_cast<int>(kBinCount))
    return false;
  bins_->histogram.at(bin.index) += bin.count;
  bins_->count += bin.count;
  return true;
}

uint64_t LatencyHistogram::count() const {
  return bins_->count;
}

base::Duration LatencyHistogram::Quantile(double fraction) const {
  if (bins_->count == 0)
    return base::Duration(0);
  const double wanted = fraction * static_cast<double>(bins_->count);
  double seen = 0.0;
  double value = 0.0;
  for (auto&& bin : bh::indexed(bins_->histogram, bh::coverage::all)) {
    seen += static_cast<double>(*bin);
    // The underflow bin begins at 0, the overflow bin at the highest value.
    value = bin.index() < static_cast<int>(kBinCount) ? bin.bin().center()
                                                      : bin.bin().lower();
    if (bin.index() < 0)
      value = kLowestMicroseconds;
    if (seen >= wanted)
      break;
  }
  return base::Duration(static_cast<base::Duration::rep>(value));
}

}  // namespace bilberry::report
