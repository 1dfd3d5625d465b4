#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibForward/store_sync_messages.h"

namespace bilberry::forward {

// The rows of one table with the versions at which they changed, so that others
// can be told what has changed since the version that they know. Entries that
// are written again with the same content haven't changed.
class TableChangeLog {
 public:
  explicit TableChangeLog(FeedKind feed) : feed_(feed) {}

  // `is_whole`: rows that aren't there have been removed.
  void Take(bool is_whole, const std::vector<FeedRow>& rows, uint64_t version);

  TableUpdate UpdateSince(uint64_t version) const;

 private:
  struct Entry {
    RowContent content;  // Removed ones are kept as such.
    uint64_t changed = 0;
  };

  void TakeRow(const FeedRow& row, uint64_t version);
  void NoteRemoved(const std::string& key, uint64_t version);
  void DropOldestRemoved();

  FeedKind feed_;
  std::map<std::string, Entry> entries_;
  size_t removed_count_ = 0;
  uint64_t version_ = 0;
  // What was removed up to then is not known any more.
  uint64_t complete_from_ = 0;
};

}  // namespace bilberry::forward
