#include "LibForward/endpoint_limits.h"

#include <array>
#include <charconv>

namespace bilberry::forward {

namespace {

// How many endpoints are remembered; whose limit is over goes first.
constexpr size_t kMostEntries = 2000;

bool IsLower(const RequestLimit& left, const RequestLimit& right) {
  return left.per_second &&
         (!right.per_second || *left.per_second < *right.per_second);
}

}  // namespace

bool EndpointLimits::Note(const base::EndpointName& name,
                          base::Incarnation incarnation,
                          const RequestLimit& limit,
                          base::TimePoint asked,
                          base::TimePoint now) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) {
    if (!limit.per_second)
      return false;
    Prune();
    entries_.emplace(name, Entry{incarnation, limit, now});
    return true;
  }
  Entry& known = it->second;
  if (known.incarnation > incarnation)
    return false;
  const bool is_same_life = known.incarnation == incarnation;
  if (is_same_life && asked < known.heard && !IsLower(limit, known.limit))
    return false;
  const bool has_changed = !is_same_life || known.limit != limit;
  known = {incarnation, limit, now};
  return has_changed;
}

void EndpointLimits::Prune() {
  if (entries_.size() >= kMostEntries)
    std::erase_if(entries_,
                  [](const auto& it) { return !it.second.limit.per_second; });
}

std::optional<double> EndpointLimits::RateOf(
    const base::EndpointName& name,
    base::Incarnation incarnation) const {
  const auto it = entries_.find(name);
  if (it == entries_.end() || it->second.incarnation != incarnation)
    return std::nullopt;
  return it->second.limit.per_second;
}

bool EndpointLimits::Knows(const base::EndpointName& name) const {
  const auto it = entries_.find(name);
  return it != entries_.end() && it->second.limit.per_second.has_value();
}

std::string ToText(const RequestLimit& limit) {
  if (!limit.per_second)
    return "none";
  std::array<char, 32> buf{};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), *limit.per_second);
  return ec == std::errc() ? std::string(buf.data(), end) : "?";
}

}  // namespace bilberry::forward
