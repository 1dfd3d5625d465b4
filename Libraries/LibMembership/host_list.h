#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibMembership/leaving_marks.h"

namespace bilberry::membership {

// The known endpoints and entry hosts, with their leaving marks. A leaving mark
// is kept for the whole incarnation: an older list does not revert it, and a
// mark may precede the host's first listing.
class HostList {
 public:
  // Applies the platform's changes; true when the list differs afterwards. A
  // lower version than before means that the platform's list was recreated: it
  // replaces the entries, but no marks.
  bool Apply(const base::HostsPolled& polled);

  // Takes a peer's list while the platform has provided none; true when the
  // list differs afterwards. The platform's list replaces it later.
  bool LearnFromPeer(const std::vector<base::HostEntry>& entries);

  // Marks a host as leaving, as reported by the host itself or a peer; true
  // when the mark is new.
  bool MarkLeaving(const std::string& name, base::Incarnation incarnation);

  // The version to poll for changes from.
  uint64_t version() const { return version_; }

  // Whether the platform or a peer has provided a list.
  bool is_known() const { return version_ != 0 || !entries_.empty(); }
  std::vector<base::HostEntry> All() const;
  // Whether any pool, or this pool, has a live endpoint.
  bool HasLiveEndpoint() const;
  bool HasLiveEndpoint(const base::PoolName& pool) const;
  std::vector<base::HostEntry> LiveEndpoints(const base::PoolName& pool) const;
  std::vector<base::HostEntry> LiveEntryHosts() const;
  // Null when the host is not listed.
  const base::HostEntry* Find(const std::string& name) const;

  LeavingMarks& marks() { return marks_; }
  const LeavingMarks& marks() const { return marks_; }

 private:
  using Entries = std::map<std::string, base::HostEntry>;

  // Adds one row of a list to `entries`.
  void AddEntry(const base::HostEntry& entry,
                MarkPropagation propagation,
                Entries& entries);

  uint64_t version_ = 0;
  Entries entries_;
  LeavingMarks marks_;
};

}  // namespace bilberry::membership
