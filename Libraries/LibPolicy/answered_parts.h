#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "LibBase/time.h"

namespace bilberry::policy {

// Remembers when endpoints last began to answer requests with certain parts of
// prompts; forgets the parts that were answered longest ago.
class AnsweredParts {
 public:
  void Note(const std::string& part, base::TimePoint at);
  std::optional<base::TimePoint> LastOf(const std::string& part) const;

 private:
  using Times = std::unordered_map<std::string, base::TimePoint>;

  Times recent_;
  Times older_;  // What was recent before.
};

}  // namespace bilberry::policy
