#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibForward/forward_action.h"
#include "LibForward/placement.h"

namespace bilberry::transport {

// Metrics of an entry host that forwards requests: counters and histograms of
// the logged decisions, with fields of the log record as labels, a counter of
// calls to the store, and gauges of the endpoints that the host places requests
// at. Counting exactly what is logged lets an operator go
// from a number to its log lines.
class ForwardMetrics {
 public:
  void RecordLine(const forward::WriteLog& line);
  // Counts one call to the store: `call` is the operation, `answer` the status
  // code of the response or "none".
  void RecordStoreCall(std::string_view call, std::string_view answer);
  // Counts what has been received of the answer to a call for tables of the
  // store, whole or not. `call` is the operation, "peer" if it was made to
  // another host.
  void RecordTableBytes(std::string_view call, size_t bytes);
  // Sets the counters of dropped log lines: totals by event name since the
  // process began.
  void SetDroppedLines(const std::map<std::string_view, uint64_t>& lines);
  // Sets the gauges of the endpoints that this host places requests at.
  void SetPlacements(std::vector<forward::EndpointPlacementStatus> placements) {
    placements_ = std::move(placements);
  }
  void SetReady(bool is_ready) { is_ready_ = is_ready; }

  // Prints all metrics in the Prometheus text format, version 0.0.4.
  std::string Print() const;

 private:
  // Label values, in the order of the family's label names.
  using Labels = std::vector<std::string>;
  struct Histogram {
    std::vector<uint64_t> buckets;  // Not cumulative; the last is unbounded.
    double sum = 0;
  };

  void Count(std::string_view family, Labels labels, uint64_t n = 1);
  void PrintCounters(std::string& out) const;
  void PrintHistograms(std::string& out) const;
  void PrintPlacements(std::string& out) const;

  std::map<std::string_view, std::map<Labels, uint64_t>> counters_;
  std::map<std::string_view, std::map<Labels, Histogram>> histograms_;
  std::vector<forward::EndpointPlacementStatus> placements_;
  bool is_ready_ = false;
};

}  // namespace bilberry::transport
