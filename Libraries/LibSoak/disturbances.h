#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "LibBase/time.h"

namespace bilberry::soak {

// Which parts of the world are disturbed, and which were lately. Parts are the
// hosts by name, the store and the endpoints.
class Disturbances {
 public:
  // May overlap.
  void Begin(const std::string& part) { ++parts_[part].open; }
  void End(const std::string& part, base::TimePoint now);

  // Whether the part is calm now and was so from `since` on.
  bool WasCalm(const std::string& part, base::TimePoint since) const;
  bool WereAllCalm(base::TimePoint since) const;

 private:
  struct Part {
    uint32_t open = 0;
    base::TimePoint last_end{base::Duration::min()};
  };

  std::map<std::string, Part> parts_;
};

}  // namespace bilberry::soak
