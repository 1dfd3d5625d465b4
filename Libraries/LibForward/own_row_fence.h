#pragma once

#include <cstdint>

#include "LibBase/ids.h"

namespace bilberry::forward {

// What the store holds beside a host's row. Each transaction that writes or
// removes the row replaces its fence and names the version that it replaces, so
// that a call which the store performs late has no effect once a later one was
// performed. The version is a fencing token (Kleppmann, "How to do distributed
// locking", 2016).
struct OwnRowFence {
  // 0 if the store has no fence of the host.
  uint64_t version = 0;
  // The process that wrote it.
  base::Incarnation boot{};
  // Whether the transaction wrote the host's row; otherwise it removed it.
  bool is_listed = false;

  friend bool operator==(const OwnRowFence&, const OwnRowFence&) = default;
};

}  // namespace bilberry::forward
