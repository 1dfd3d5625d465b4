#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "LibBase/time.h"

namespace bilberry::soak {

// Tracks which parts of the tested system are disturbed, and when their last
// disturbance ended. Parts are the hosts by name, the store and the endpoints.
class Disturbances {
 public:
  // Disturbances of a part may overlap.
  void Begin(const std::string& part) { ++parts_[part].open; }
  void End(const std::string& part, base::TimePoint now);

  // Whether the part has been undisturbed from `since` until now.
  bool WasUndisturbed(const std::string& part, base::TimePoint since) const;
  bool WereAllUndisturbed(base::TimePoint since) const;
  bool WereOthersUndisturbed(const std::string& part,
                             base::TimePoint since) const;

 private:
  struct Part {
    uint32_t open = 0;
    base::TimePoint last_end{base::Duration::min()};
  };

  std::map<std::string, Part> parts_;
};

}  // namespace bilberry::soak
