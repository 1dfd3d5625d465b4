#pragma once

#include <optional>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibForward/forward_context.h"
#include "LibForward/own_row_fence.h"

namespace bilberry::forward {

// Keeps this host's own row in the store, by which peers find it, as long as
// the host runs, and removes it when the host stops. A call whose answer is
// lost may still be performed, also after a restart of the host. Therefore each
// call is conditional on the row's fence, and the row that the store's feed
// shows is compared with the wanted one and put right.
class OwnRowWriter {
 public:
  OwnRowWriter(ForwardContext& context, uint64_t seed)
      : context_(context), random_(seed) {}

  // The store has performed the last write. `version` is that of the fence.
  void HandleWritten(uint64_t version, base::TimePoint now);
  // The store has not performed it, because it holds this other fence.
  void HandleConflict(const OwnRowFence& fence, base::TimePoint now);
  // Whether the store has performed the last write is unknown.
  void HandleFailed(base::TimePoint now);
  // At this version the hosts' table holds `row` for this host, or none if
  // null, and `hosts` rows in all.
  void NoteSeen(const PeerHost* row,
                uint64_t version,
                size_t hosts,
                base::TimePoint now);
  // The store may have lost the row, and that of every other host.
  void HandleStoreRestored(base::TimePoint now);
  // Removes the row, because this host is stopping.
  void Remove(base::TimePoint now);

  void HandleTimer(base::TimePoint now);
  std::optional<base::TimePoint> NextWakeup() const;

 private:
  bool IsWanted(const std::optional<PeerHost>& row) const;
  // Writes again if the table shows a row other than the wanted one.
  void PutRight(base::TimePoint now);
  void WriteWithinSpread(base::TimePoint now);
  base::Duration RetryDelay();

  ForwardContext& context_;
  base::Random random_;
  bool is_stopping_ = false;
  std::optional<base::TimePoint> due_ = base::TimePoint();
  bool is_writing_ = false;
  // The fence that the next write replaces.
  uint64_t fence_version_ = 0;
  // Empty until the wanted row is known to be written.
  std::optional<uint64_t> written_version_;
  // Consecutive writes that weren't performed, as far as is known.
  uint32_t failures_ = 0;
  uint32_t conflicts_ = 0;
  // What the hosts' table showed last.
  std::optional<PeerHost> seen_row_;
  uint64_t seen_version_ = 0;
  size_t host_count_ = 0;
};

}  // namespace bilberry::forward
