#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/platform.h"

namespace bilberry::membership {

// The endpoints and entry hosts known, with their leaving marks. A leaving mark
// is kept for the whole incarnation, whatever older lists say.
class HostList {
 public:
  // Takes the platform's changes; true when anything is different afterwards.
  bool Apply(const base::HostsPolled& polled);

  // Notes that a host leaves, as heard from itself or a peer; true when new.
  bool MarkLeaving(const std::string& name, base::Incarnation incarnation);

  // The version to ask for changes after.
  uint64_t version() const { return version_; }

  std::vector<base::HostEntry> LiveEndpoints(const base::PoolName& pool) const;
  std::vector<base::HostEntry> LiveEntryHosts() const;

 private:
  uint64_t version_ = 0;
  std::map<std::string, base::HostEntry> entries_;
};

}  // namespace bilberry::membership
