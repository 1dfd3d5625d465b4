#include <doctest/doctest.h>

#include "LibReport/latency_histogram.h"

namespace bilberry::report {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("quantiles have an error of at most 3 percent") {
  LatencyHistogram histogram;
  CHECK(histogram.Quantile(0.5) == base::Duration(0));
  for (int i = 1; i <= 1000; ++i)
    histogram.Record(milliseconds(i));
  CHECK(histogram.count() == 1000);
  CHECK(histogram.Quantile(0.5).count() == doctest::Approx(500e3).epsilon(.03));
  CHECK(histogram.Quantile(0.99).count() ==
        doctest::Approx(990e3).epsilon(.03));
}

TEST_CASE("durations out of range are counted in the outermost bins") {
  LatencyHistogram histogram;
  histogram.Record(microseconds(1));
  CHECK(histogram.Quantile(1.0) == microseconds(10));
  histogram.Record(std::chrono::hours(1));
  CHECK(histogram.Quantile(1.0) == std::chrono::seconds(100));
}

TEST_CASE("a merged histogram holds the counts of both") {
  LatencyHistogram left;
  LatencyHistogram right;
  left.Record(milliseconds(1));
  right.Record(milliseconds(100));
  left.Merge(right);
  CHECK(left.count() == 2);
  CHECK(left.Quantile(1.0) > milliseconds(90));
}

}  // namespace
}  // namespace bilberry::report
