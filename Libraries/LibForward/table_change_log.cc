#include "LibForward/table_change_log.h"

#include <algorithm>
#include <set>

namespace bilberry::forward {

namespace {

// Maximum number of tombstones. Peers whose version is older than the dropped
// tombstones get the whole table.
constexpr size_t kMaxTombstones = 2000;

bool IsRemoved(const RowContent& content) {
  return std::holds_alternative<RowRemoved>(content);
}

bool IsUnchanged(const RowContent& left, const RowContent& right) {
  if (left.index() != right.index())
    return false;
  // A stated cold time counts from its receipt, so each row that states one
  // counts as changed.
  if (const auto* endpoint = std::get_if<ListedEndpoint>(&left))
    return *endpoint == std::get<ListedEndpoint>(right) &&
           endpoint->cold_for.value_or(base::Duration(0)).count() == 0;
  if (const auto* host = std::get_if<PeerHost>(&left))
    return *host == std::get<PeerHost>(right);
  if (const auto* zone = std::get_if<ZoneEvacuated>(&left))
    return zone->zone == std::get<ZoneEvacuated>(right).zone;
  if (const auto* configuration =
          std::get_if<std::shared_ptr<const ForwardConfiguration>>(&left))
    return (*configuration)->revision ==
           std::get<std::shared_ptr<const ForwardConfiguration>>(right)
               ->revision;
  return IsRemoved(left);
}

}  // namespace

void TableChangeLog::Apply(bool is_whole,
                           const std::vector<FeedRow>& rows,
                           uint64_t version) {
  if (version_ == 0)
    complete_from_ = version;
  version_ = std::max(version_, version);
  std::set<std::string> seen;
  for (const FeedRow& row : rows) {
    seen.insert(row.key);
    ApplyRow(row, version);
  }
  if (!is_whole)
    return;
  for (const auto& [key, entry] : entries_) {
    if (!seen.contains(key))
      NoteRemoved(key, version);
  }
}

void TableChangeLog::BeginEra() {
  std::erase_if(entries_,
                [](const auto& it) { return IsRemoved(it.second.content); });
  tombstone_count_ = 0;
  for (auto& [key, entry] : entries_)
    entry.changed = 0;
  version_ = 0;
}

void TableChangeLog::ApplyRow(const FeedRow& row, uint64_t version) {
  // An unreadable row leaves the known content unchanged.
  if (std::holds_alternative<RowUnreadable>(row.content))
    return;
  if (IsRemoved(row.content)) {
    NoteRemoved(row.key, version);
    return;
  }
  const auto [it, is_new] =
      entries_.try_emplace(row.key, Entry{row.content, version});
  Entry& entry = it->second;
  if (is_new || IsUnchanged(entry.content, row.content))
    return;
  if (IsRemoved(entry.content))
    --tombstone_count_;
  entry = {row.content, version};
}

void TableChangeLog::NoteRemoved(const std::string& key, uint64_t version) {
  const auto it = entries_.find(key);
  if (it == entries_.end() || IsRemoved(it->second.content))
    return;
  it->second = {RowRemoved{}, version};
  ++tombstone_count_;
  if (tombstone_count_ > kMaxTombstones)
    DropOldestTombstone();
}

void TableChangeLog::DropOldestTombstone() {
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    const bool is_older =
        oldest == entries_.end() || it->second.changed < oldest->second.changed;
    if (IsRemoved(it->second.content) && is_older)
      oldest = it;
  }
  complete_from_ = std::max(complete_from_, oldest->second.changed);
  entries_.erase(oldest);
  --tombstone_count_;
}

TableUpdate TableChangeLog::UpdateSince(uint64_t version) const {
  TableUpdate update;
  update.feed = feed_;
  update.version = version_;
  update.is_whole = version < complete_from_;
  for (const auto& [key, entry] : entries_) {
    const bool is_wanted =
        update.is_whole ? !IsRemoved(entry.content) : entry.changed > version;
    if (is_wanted)
      update.rows.push_back({key, entry.content});
  }
  return update;
}

}  // namespace bilberry::forward
