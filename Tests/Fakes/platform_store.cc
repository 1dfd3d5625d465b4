#include "Fakes/platform_store.h"

#include <utility>

namespace bilberry::fakes {

using base::PlatformAnswer;

PlatformAnswer PlatformStore::Apply(const base::PlatformRequest& request) {
  return std::visit([this](const auto& it) { return Do(it); }, request);
}

base::TableWriteResult PlatformStore::Write(const base::TableWrite& write) {
  const auto it = rows_.find(write.key);
  const auto present =
      it == rows_.end() ? base::RowVersion::kAbsent : it->second.version;
  if (present != write.expected)
    return {false, it == rows_.end() ? base::TableRow{write.key, present, ""}
                                     : it->second};
  const base::RowVersion next{static_cast<uint64_t>(present) + 1};
  ++counts_.rows_written;
  base::TableRow& row = rows_[write.key];
  row = {write.key, next, write.value};
  return {true, row};
}

PlatformAnswer PlatformStore::Do(const base::WriteRows& request) {
  ++counts_.transactions;
  base::RowsWritten written;
  for (const base::TableWrite& write : request.writes)
    written.results.push_back(Write(write));
  return written;
}

PlatformAnswer PlatformStore::Do(const base::ReadRow& request) {
  ++counts_.reads;
  const auto it = rows_.find(request.key);
  if (it == rows_.end())
    return base::RowRead{
        base::TableRow{request.key, base::RowVersion::kAbsent, ""}};
  if (it->second.version == request.unless)
    return base::RowRead{};
  return base::RowRead{it->second};
}

PlatformAnswer PlatformStore::Do(const base::ListRows& request) {
  ++counts_.reads;
  base::RowsListed listed;
  for (auto it = rows_.lower_bound(request.prefix);
       it != rows_.end() && it->first.starts_with(request.prefix) &&
       listed.rows.size() < request.limit;
       ++it)
    listed.rows.push_back(it->second);
  return listed;
}

PlatformAnswer PlatformStore::Do(const base::StoreObject& request) {
  objects_[request.name] = request.content;
  return base::ObjectStored{};
}

PlatformAnswer PlatformStore::Do(const base::FetchObject& request) {
  ++counts_.reads;
  const auto it = objects_.find(request.name);
  if (it == objects_.end())
    return base::ObjectFetched{};
  return base::ObjectFetched{it->second};
}

PlatformAnswer PlatformStore::Do(const base::PollHosts& request) {
  ++counts_.reads;
  base::HostsPolled polled{host_version_, {}};
  // A version higher than the list's own stems from an earlier list that was
  // recreated since.
  const bool is_of_another_life = request.version > host_version_;
  for (const auto& [name, host] : hosts_) {
    if (host.version > request.version || is_of_another_life)
      polled.changed.push_back(host.entry);
  }
  return polled;
}

void PlatformStore::PutHost(base::HostEntry entry) {
  const std::string name = entry.name;
  hosts_[name] = {std::move(entry), ++host_version_};
}

}  // namespace bilberry::fakes
