#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibForward/store_sync_messages.h"

namespace bilberry::forward {

// The rows of one table with the version of each row's last change, from which
// peers get the changes since the version that they know. An entry that is
// rewritten with the same content counts as unchanged.
class TableChangeLog {
 public:
  explicit TableChangeLog(FeedKind feed) : feed_(feed) {}

  // Applies rows; with `is_whole`, all other rows have been removed.
  void Apply(bool is_whole, const std::vector<FeedRow>& rows, uint64_t version);

  TableUpdate UpdateSince(uint64_t version) const;

  // The store has come back from an older copy: what follows has versions that
  // can't be compared with the earlier ones.
  void BeginEra();

 private:
  struct Entry {
    RowContent content;  // RowRemoved for removed rows (tombstones).
    uint64_t changed = 0;
  };

  void ApplyRow(const FeedRow& row, uint64_t version);
  void NoteRemoved(const std::string& key, uint64_t version);
  void DropOldestTombstone();

  FeedKind feed_;
  std::map<std::string, Entry> entries_;
  size_t tombstone_count_ = 0;
  uint64_t version_ = 0;
  // Tombstones up to this version are incomplete.
  uint64_t complete_from_ = 0;
};

}  // namespace bilberry::forward
