#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"
#include "LibMembership/leaving_marks.h"

namespace bilberry::membership {

// The endpoints and entry hosts known, with their leaving marks. A leaving mark
// is kept for the whole incarnation, whatever older lists say, and whether the
// list has named that host yet or not.
class HostList {
 public:
  // Takes the platform's changes; true when anything is different afterwards.
  // A version that went backwards is of another life of the list: it replaces
  // the entries, but no mark.
  bool Apply(const base::HostsPolled& polled);

  // Takes a peer's list, as long as the platform has told none; true when
  // anything is different afterwards. The platform's own replaces it.
  bool LearnFromPeer(const std::vector<base::HostEntry>& entries);

  // Notes that a host leaves, as heard from itself or a peer; true when new.
  bool MarkLeaving(const std::string& name, base::Incarnation incarnation);

  // The version to ask for changes after.
  uint64_t version() const { return version_; }

  // Whether the platform or a peer has told any list.
  bool is_known() const { return version_ != 0 || !entries_.empty(); }
  std::vector<base::HostEntry> All() const;
  // Of any pool, or of this one.
  bool HasLiveEndpoint() const;
  bool HasLiveEndpoint(const base::PoolName& pool) const;
  std::vector<base::HostEntry> LiveEndpoints(const base::PoolName& pool) const;
  std::vector<base::HostEntry> LiveEntryHosts() const;
  // Null when it is not listed.
  const base::HostEntry* Find(const std::string& name) const;

  LeavingMarks& marks() { return marks_; }
  const LeavingMarks& marks() const { return marks_; }

 private:
  using Entries = std::map<std::string, base::HostEntry>;

  // Adds one row of the list to `entries`.
  void Take(const base::HostEntry& entry,
            MarkPropagation spreading,
            Entries& entries);

  uint64_t version_ = 0;
  Entries entries_;
  LeavingMarks marks_;
};

}  // namespace bilberry::membership
