#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::transport {

inline constexpr const char* kMetricsType = "text/plain; version=0.0.4";

struct MetricLabel {
  std::string_view key;
  std::string value;
};

using MetricLabels = std::vector<MetricLabel>;

// Writes one metric in the Prometheus text exposition format, version 0.0.4:
// its HELP and TYPE lines, then its samples.
class MetricWriter {
 public:
  // `out` must outlive the writer.
  MetricWriter(std::string& out,
               std::string_view name,
               std::string_view type,
               std::string_view help);

  void Add(const MetricLabels& labels, const std::string& value) {
    AddSuffixed("", labels, value);
  }
  void Add(const MetricLabels& labels, uint64_t value) {
    Add(labels, std::to_string(value));
  }
  // Adds a sample of a summary or a histogram, with the suffix "_sum", "_count"
  // or "_bucket".
  void AddSuffixed(std::string_view suffix,
                   const MetricLabels& labels,
                   const std::string& value);
  // `buckets` are not cumulative and have one more element than `bounds`, for
  // values above the last bound.
  void AddHistogram(const MetricLabels& labels,
                    std::span<const double> bounds,
                    std::span<const uint64_t> buckets,
                    double sum);

 private:
  std::string& out_;
  std::string name_;
};

}  // namespace bilberry::transport
