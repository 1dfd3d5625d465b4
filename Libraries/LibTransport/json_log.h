#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "LibForward/forward_action.h"

namespace bilberry::transport {

// Writes log lines as JSON objects to a descriptor, in bounded volume. Routine
// lines (severity info) are limited to a number per second, and lines that the
// reader does not take in time are dropped: the log never blocks. Dropped lines
// are counted by event and reported in a line of their own. Warnings and errors
// are not rate-limited and have a reserved part of the buffer.
class JsonLog {
 public:
  // Does not take ownership of the descriptor.
  explicit JsonLog(int descriptor) : descriptor_(descriptor) {}

  // Queues a line, or drops it when over the limits. `now` is the time since
  // the process began; lines also hold the wall-clock time.
  void Add(const forward::WriteLog& line, base::TimePoint now);
  // Writes as much as the reader takes without blocking.
  void Flush();

  // Number of dropped lines since the process began.
  uint64_t dropped_count() const { return dropped_count_; }
  const std::map<std::string_view, uint64_t>& dropped_by_event() const {
    return dropped_by_event_;
  }

 private:
  bool TakeBudgetFor(const forward::WriteLog& line);
  void ReportDroppedLines(base::TimePoint now);
  void Append(const forward::WriteLog& line, base::TimePoint now);

  int descriptor_;
  std::string buffer_;
  uint64_t dropped_count_ = 0;
  uint64_t reported_dropped_count_ = 0;
  std::map<std::string_view, uint64_t> dropped_by_event_;
  std::map<std::string_view, uint64_t> reported_by_event_;
  // The start of the current rate-limit interval, and the routine lines written
  // in it.
  base::TimePoint interval_start_;
  uint64_t routine_lines_ = 0;
};

}  // namespace bilberry::transport
