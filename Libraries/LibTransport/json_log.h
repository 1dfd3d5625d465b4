#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "LibForward/forward_action.h"

namespace bilberry::transport {

// Writes log lines as JSON objects to a descriptor. The volume is bounded: of
// routine lines, so many a second are written, and what is left out is counted
// by event in a line of its own. Warnings and errors go before them. It never
// waits for the reader: lines that don't fit are left out and counted too.
class JsonLog {
 public:
  // The descriptor stays the caller's.
  explicit JsonLog(int descriptor) : descriptor_(descriptor) {}

  // `now` is the time since the process began; lines also hold the time of day.
  void Add(const forward::WriteLog& line, base::TimePoint now);
  // Writes what the reader takes now.
  void Flush();

  // Since the process began.
  uint64_t dropped_count() const { return left_out_; }
  const std::map<std::string_view, uint64_t>& dropped_by_event() const {
    return left_out_by_event_;
  }

 private:
  bool HasPlaceFor(const forward::WriteLog& line);
  void TellLeftOut(base::TimePoint now);
  void Append(const forward::WriteLog& line, base::TimePoint now);

  int descriptor_;
  std::string waiting_;
  uint64_t left_out_ = 0;
  uint64_t told_left_out_ = 0;
  std::map<std::string_view, uint64_t> left_out_by_event_;
  std::map<std::string_view, uint64_t> told_by_event_;
  // The second that the budget counts, and its routine lines so far.
  base::TimePoint second_began_;
  uint64_t routine_lines_ = 0;
};

}  // namespace bilberry::transport
