#pragma once

#include <optional>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/forward_context.h"

namespace bilberry::forward {

// Keeps this host's own row in the store, by which peers find it.
class OwnRowWriter {
 public:
  OwnRowWriter(ForwardContext& context, uint64_t seed)
      : context_(context), random_(seed) {}

  void HandleWritten() { is_writing_ = false; }
  void HandleFailed(base::TimePoint now);
  // The store may have lost the row, and that of every other host.
  void WriteAgain(base::TimePoint now);
  // Removes the row, because this host is stopping.
  void Remove();

  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  ForwardContext& context_;
  base::Random random_;
  std::optional<base::TimePoint> due_ = base::TimePoint();
  bool is_writing_ = false;
  bool is_removed_ = false;
};

}  // namespace bilberry::forward
