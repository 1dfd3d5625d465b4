#pragma once

#include <string>
#include <vector>

#include "LibBase/ids.h"

namespace bilberry::forward {

// A row of the table in which hosts keep what must be known of streams after
// any number of hosts were killed. There are two kinds: a stream's row, whose
// key is the id of the caller's attempt that brought the first event, holds the
// one software version of that event's endpoint; a pool's row, whose key is the
// pool, holds the versions lately listed there.
struct StreamRow {
  std::string key;
  base::PoolName pool;
  std::vector<std::string> software_versions;

  friend bool operator==(const StreamRow&, const StreamRow&) = default;
};

// Number of a call to that table.
enum class StreamCallId : uint64_t {};

}  // namespace bilberry::forward
