#include "LibPolicy/answered_parts.h"

#include <algorithm>
#include <utility>

namespace bilberry::policy {

namespace {

// Twice as many parts are remembered at most.
constexpr size_t kMaxRecent = 4096;

}  // namespace

void AnsweredParts::Note(const std::string& part, base::TimePoint at) {
  if (recent_.size() == kMaxRecent && !recent_.contains(part))
    older_ = std::exchange(recent_, {});
  base::TimePoint& last = recent_[part];
  last = std::max(last, at);
}

std::optional<base::TimePoint> AnsweredParts::LastOf(
    const std::string& part) const {
  std::optional<base::TimePoint> last;
  for (const Times* times : {&recent_, &older_}) {
    if (const auto it = times->find(part); it != times->end())
      last = std::max(last.value_or(it->second), it->second);
  }
  return last;
}

}  // namespace bilberry::policy
