#include "LibForward/own_row_writer.h"

#include <algorithm>
#include <chrono>

namespace bilberry::forward {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{700};
// A stopping host ends soon.
constexpr std::chrono::milliseconds kRemovalRetryDelay{300};
// The delay doubles with each second failure in a row, up to this many times.
constexpr uint32_t kMaxDoublings = 2;
// Within this time, or within kSpreadPerHost for each host if that is longer,
// all hosts write their rows again, so that the store isn't asked by all of
// them at once.
constexpr std::chrono::milliseconds kMinSpread{500};
constexpr std::chrono::milliseconds kSpreadPerHost{10};
// A conflict names the fence to replace, so the write is repeated at once. It
// only conflicts again if others write the same row.
constexpr uint32_t kQuickRepetitions = 2;

}  // namespace

bool OwnRowWriter::IsWanted(const std::optional<PeerHost>& row) const {
  if (is_stopping_)
    return !row;
  const PeerHost& own = context_.options().own;
  return row && row->address == own.address && row->zone == own.zone;
}

void OwnRowWriter::HandleWritten(uint64_t version, base::TimePoint now) {
  is_writing_ = false;
  failures_ = 0;
  conflicts_ = 0;
  fence_version_ = version;
  // Another write has become due meanwhile: the store was restored, or a stop
  // was ordered.
  if (due_)
    return;
  written_version_ = version;
  PutRight(now);
}

void OwnRowWriter::HandleConflict(const OwnRowFence& fence,
                                  base::TimePoint now) {
  is_writing_ = false;
  fence_version_ = fence.version;
  const bool is_own =
      fence.boot == context_.options().incarnation && fence.is_listed;
  // The row is gone already, or is that of a later process.
  if (is_stopping_ && !is_own) {
    written_version_ = fence.version;
    due_.reset();
    return;
  }
  ++conflicts_;
  due_ = conflicts_ <= kQuickRepetitions ? now : now + RetryDelay();
}

void OwnRowWriter::HandleFailed(base::TimePoint now) {
  is_writing_ = false;
  ++failures_;
  if (!due_)
    due_ = now + (is_stopping_ ? kRemovalRetryDelay : RetryDelay());
}

base::Duration OwnRowWriter::RetryDelay() {
  const uint32_t doublings = std::min(failures_ / 2, kMaxDoublings);
  const auto jitter = static_cast<int64_t>(
      random_.Below(static_cast<uint64_t>(kRetryDelay.count()) / 2));
  return kRetryDelay * (1 << doublings) + std::chrono::milliseconds(jitter);
}

void OwnRowWriter::NoteSeen(const PeerHost* row,
                            uint64_t version,
                            size_t hosts,
                            base::TimePoint now) {
  seen_row_ = row == nullptr ? std::nullopt : std::optional(*row);
  seen_version_ = version;
  host_count_ = hosts;
  PutRight(now);
}

// A table older than the last write says nothing about it.
void OwnRowWriter::PutRight(base::TimePoint now) {
  if (is_writing_ || due_ || !written_version_ ||
      seen_version_ < *written_version_ || IsWanted(seen_row_))
    return;
  context_.Log(base::LogEventId::kOwnRowReplaced, "",
               {{"seen", seen_row_ ? base::ToText(seen_row_->address) : "none"},
                {"version", std::to_string(seen_version_)}});
  WriteWithinSpread(now);
}

void OwnRowWriter::WriteWithinSpread(base::TimePoint now) {
  written_version_.reset();
  const auto spread =
      std::max(kMinSpread, kSpreadPerHost * static_cast<int64_t>(host_count_));
  due_ = now + std::chrono::milliseconds(
                   random_.Below(static_cast<uint64_t>(spread.count())));
}

// Versions of the time before can't be compared with those to come.
void OwnRowWriter::HandleStoreRestored(base::TimePoint now) {
  seen_version_ = 0;
  WriteWithinSpread(now);
}

void OwnRowWriter::Remove(base::TimePoint now) {
  is_stopping_ = true;
  written_version_.reset();
  due_ = now;
}

void OwnRowWriter::HandleTimer(base::TimePoint now) {
  if (is_writing_ || !due_ || *due_ > now)
    return;
  due_.reset();
  is_writing_ = true;
  const ForwardOptions& options = context_.options();
  context_.Emit(WriteOwnRow{
      options.own, {fence_version_, options.incarnation, !is_stopping_}});
}

std::optional<base::TimePoint> OwnRowWriter::NextWakeup() const {
  if (is_writing_)
    return std::nullopt;
  return due_;
}

}  // namespace bilberry::forward
