#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibForward/forward_action.h"

namespace bilberry::transport {

// What an entry host that forwards requests counts: each decision that it
// logs, by what the line says, and calls to the store. What is counted is what
// is logged, so that a number leads to its lines.
class ForwardMetrics {
 public:
  void Note(const forward::WriteLog& line);
  // `call` names what was asked of the store, `answer` how that ended.
  void NoteStoreCall(std::string_view call, std::string_view answer);
  // By event, since the process began.
  void SetDroppedLines(const std::map<std::string_view, uint64_t>& lines);
  void SetReady(bool is_ready) { is_ready_ = is_ready; }

  // In the Prometheus text format, version 0.0.4.
  std::string Print() const;

 private:
  // Values by label values, in the order of the family's labels.
  using Labels = std::vector<std::string>;
  struct Histogram {
    std::vector<uint64_t> buckets;  // Not cumulative; the last is the rest.
    double sum = 0;
  };

  void Count(std::string_view family, Labels labels);
  void PrintCounters(std::string& out) const;
  void PrintHistograms(std::string& out) const;

  std::map<std::string_view, std::map<Labels, uint64_t>> counters_;
  std::map<std::string_view, std::map<Labels, Histogram>> histograms_;
  bool is_ready_ = false;
};

}  // namespace bilberry::transport
