#pragma once

#include <string>

#include "LibForward/forward_action.h"

namespace bilberry::transport {

// Writes log lines as JSON objects to a descriptor. It never waits for the
// reader: lines that don't fit are left out and counted.
class JsonLog {
 public:
  // The descriptor stays the caller's.
  explicit JsonLog(int descriptor) : descriptor_(descriptor) {}

  // `now` is the time since the process began.
  void Add(const forward::WriteLog& line, base::TimePoint now);
  // Writes what the reader takes now.
  void Flush();

  uint64_t left_out() const { return left_out_; }

 private:
  int descriptor_;
  std::string waiting_;
  uint64_t left_out_ = 0;
  uint64_t told_left_out_ = 0;
};

}  // namespace bilberry::transport
