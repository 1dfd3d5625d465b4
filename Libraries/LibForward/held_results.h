#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace bilberry::forward {

// The results that one endpoint holds in memory, as far as this host knows.
class HeldResults {
 public:
  // Reserves memory for the results of a call in flight.
  void Reserve(uint64_t bytes) { reserved_bytes_ += bytes; }
  void Release(uint64_t bytes) { reserved_bytes_ -= bytes; }

  void Add(const std::string& handle, uint64_t bytes, base::TimePoint expires);
  // Ignores unknown results.
  void Remove(const std::string& handle);
  // 0 if the result is unknown.
  uint64_t SizeOf(const std::string& handle) const;
  // Removes the results whose life has ended and which the endpoint has dropped
  // by itself.
  void DropExpired(base::TimePoint now);

  uint64_t used_bytes() const { return reserved_bytes_ + held_bytes_; }
  // When the next result expires; TimePoint::max() if there are none.
  base::TimePoint NextExpiry() const;

 private:
  struct Held {
    uint64_t bytes = 0;
    base::TimePoint expires;
  };

  std::map<std::string, Held> results_;
  uint64_t held_bytes_ = 0;
  uint64_t reserved_bytes_ = 0;
};

}  // namespace bilberry::forward
