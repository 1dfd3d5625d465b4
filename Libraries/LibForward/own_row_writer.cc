#include "LibForward/own_row_writer.h"

#include <chrono>

namespace bilberry::forward {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{700};
// Within this time all hosts write their rows again, so that the store isn't
// asked by all of them at once.
constexpr uint64_t kSpreadMilliseconds = 500;

}  // namespace

void OwnRowWriter::HandleFailed(base::TimePoint now) {
  is_writing_ = false;
  if (!is_removed_)
    due_ = now + kRetryDelay;
}

// A stopping host's row, which the store may have restored, is removed again.
void OwnRowWriter::WriteAgain(base::TimePoint now) {
  if (is_removed_) {
    Remove();
    return;
  }
  due_ = now + std::chrono::milliseconds(random_.Below(kSpreadMilliseconds));
}

void OwnRowWriter::Remove() {
  is_removed_ = true;
  due_.reset();
  context_.Emit(RemoveOwnRow{context_.options().own.name});
}

void OwnRowWriter::HandleTimer(base::TimePoint now) {
  if (is_writing_ || !due_ || *due_ > now)
    return;
  due_.reset();
  is_writing_ = true;
  context_.Emit(WriteOwnRow{context_.options().own});
}

std::optional<base::TimePoint> OwnRowWriter::NextWakeup() const {
  if (is_writing_)
    return std::nullopt;
  return due_;
}

}  // namespace bilberry::forward
