#include "LibForward/endpoint_limits.h"

#include <array>
#include <charconv>

namespace bilberry::forward {

namespace {

// At this many entries, those of endpoints that no longer have a limit are
// dropped.
constexpr size_t kMaxEntries = 2000;
// How long a limit is reported to peers; a host that polls its relay once a
// second receives the report several times.
constexpr std::chrono::seconds kReportedFor{5};
constexpr size_t kMaxReported = 200;

bool IsLower(const RequestLimit& left, const RequestLimit& right) {
  return left.per_second &&
         (!right.per_second || *left.per_second < *right.per_second);
}

}  // namespace

bool EndpointLimits::Note(const base::EndpointName& name,
                          base::Incarnation incarnation,
                          const RequestLimit& limit,
                          base::TimePoint sent_at,
                          base::TimePoint now) {
  const auto it = entries_.find(name);
  const bool is_known =
      it != entries_.end() && it->second.incarnation == incarnation;
  if (is_known && sent_at < it->second.received_at &&
      !IsLower(limit, it->second.limit))
    return false;
  return Apply(name, {incarnation, limit, now});
}

bool EndpointLimits::NoteByPeer(const base::EndpointName& name,
                                base::Incarnation incarnation,
                                const LimitReport& report,
                                base::TimePoint now) {
  const base::TimePoint received_at = now - report.age;
  const auto it = entries_.find(name);
  const bool is_known =
      it != entries_.end() && it->second.incarnation == incarnation;
  if (is_known && (received_at <= it->second.received_at ||
                   it->second.limit == report.limit))
    return false;
  return Apply(name, {incarnation, report.limit, received_at});
}

bool EndpointLimits::Apply(const base::EndpointName& name, Entry entry) {
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
  // Answers of an earlier incarnation don't apply to the current one.
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
  return LimitReport{it->second.limit, now - it->second.received_at};
}

void EndpointLimits::Prune() {
  if (entries_.size() >= kMaxEntries)
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
    const base::Duration age = now - entry.received_at;
    if (age < kReportedFor && recent.size() < kMaxReported)
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
