#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::forward {

// The results that one endpoint holds, as far as this host knows.
class HeldResults {
 public:
  // Counts room for pieces of a call that is on its way.
  void Reserve(uint64_t bytes) { reserved_ += bytes; }
  void Release(uint64_t bytes) { reserved_ -= bytes; }

  void Add(const std::string& handle, uint64_t bytes, base::TimePoint expires);
  // Ignores results that aren't known.
  void Remove(const std::string& handle);
  // 0 when it isn't known.
  uint64_t SizeOf(const std::string& handle) const;
  // Forgets what the endpoint has dropped by itself.
  void DropExpired(base::TimePoint now);

  uint64_t used_bytes() const { return reserved_ + held_; }
  // When the next result is dropped; the latest time when there is none.
  base::TimePoint NextExpiry() const;

 private:
  struct Held {
    uint64_t bytes = 0;
    base::TimePoint expires;
  };

  std::map<std::string, Held> results_;
  uint64_t held_ = 0;
  uint64_t reserved_ = 0;
};

}  // namespace bilberry::forward
