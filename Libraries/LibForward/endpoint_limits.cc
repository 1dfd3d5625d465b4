#include "LibForward/endpoint_limits.h"

#include <array>
#include <charconv>

namespace bilberry::forward {

namespace {

// How many endpoints are remembered; whose limit is over goes first.
constexpr size_t kMostEntries = 2000;
// For so long peers are told of a limit; a host that asks its relay once a
// second hears of it several times.
constexpr std::chrono::seconds kToldFor{5};
constexpr size_t kMostTold = 200;

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
  const bool is_known =
      it != entries_.end() && it->second.incarnation == incarnation;
  if (is_known && asked < it->second.heard && !IsLower(limit, it->second.limit))
    return false;
  return Take(name, {incarnation, limit, now});
}

bool EndpointLimits::NoteByPeer(const base::EndpointName& name,
                                base::Incarnation incarnation,
                                const LimitReport& word,
                                base::TimePoint now) {
  const base::TimePoint heard = now - word.age;
  const auto it = entries_.find(name);
  const bool is_known =
      it != entries_.end() && it->second.incarnation == incarnation;
  if (is_known && (heard <= it->second.heard || it->second.limit == word.limit))
    return false;
  return Take(name, {incarnation, word.limit, heard});
}

bool EndpointLimits::Take(const base::EndpointName& name, Entry entry) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) {
    if (!entry.limit.per_second)
      return false;
    Prune();
    entries_.emplace(name, entry);
    ++changes_;
    return true;
  }
  Entry& known = it->second;
  // Answers of an earlier life say nothing of this one.
  if (known.incarnation > entry.incarnation)
    return false;
  const bool has_changed =
      known.incarnation != entry.incarnation || known.limit != entry.limit;
  known = entry;
  changes_ += has_changed ? 1 : 0;
  return has_changed;
}

std::optional<LimitReport> EndpointLimits::ReportOf(
    const base::EndpointName& name,
    base::Incarnation incarnation,
    base::TimePoint now) const {
  const auto it = entries_.find(name);
  if (it == entries_.end() || it->second.incarnation != incarnation)
    return std::nullopt;
  return LimitReport{it->second.limit, now - it->second.heard};
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

std::vector<EndpointLimitReport> EndpointLimits::RecentReports(
    base::TimePoint now) const {
  std::vector<EndpointLimitReport> recent;
  for (const auto& [name, entry] : entries_) {
    const base::Duration age = now - entry.heard;
    if (age < kToldFor && recent.size() < kMostTold)
      recent.push_back({name, entry.incarnation, {entry.limit, age}});
  }
  return recent;
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
