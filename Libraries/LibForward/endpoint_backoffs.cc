#include "LibForward/endpoint_backoffs.h"

#include <algorithm>
#include <chrono>

namespace bilberry::forward {

namespace {

// Reports of longer backoff periods are invalid.
constexpr std::chrono::hours kMaxBackoff{1};
// Maximum number of backoff periods reported to peers, and of those stored from
// peers' reports.
constexpr size_t kMaxReported = 200;

}  // namespace

bool EndpointBackoffs::Extend(ByName& times,
                              const base::EndpointName& name,
                              const Backoff& time) {
  const auto [it, is_new] = times.try_emplace(name, time);
  if (is_new)
    return true;
  if (time.until <= it->second.until)
    return false;
  it->second = time;
  return true;
}

bool EndpointBackoffs::Note(const base::EndpointName& name,
                            base::Incarnation incarnation,
                            base::TimePoint until,
                            base::TimePoint now) {
  return Extend(own_, name, {incarnation, now, until});
}

bool EndpointBackoffs::NoteByPeer(const BackoffReport& report,
                                  base::TimePoint now) {
  const bool is_valid =
      report.age >= base::Duration(0) && report.age < report.lasts &&
      report.lasts <= kMaxBackoff && report.incarnation != base::Incarnation{};
  if (!is_valid || (reported_by_peers_.size() >= kMaxReported &&
                    !reported_by_peers_.contains(report.endpoint)))
    return false;
  const base::TimePoint asked_at = now - report.age;
  return Extend(reported_by_peers_, report.endpoint,
                {report.incarnation, asked_at, asked_at + report.lasts});
}

base::TimePoint EndpointBackoffs::EndOf(const base::EndpointName& name) const {
  const auto it = own_.find(name);
  return it == own_.end() ? base::TimePoint::min() : it->second.until;
}

bool EndpointBackoffs::IsBackingOffFromPeers(const base::EndpointName& name,
                                             base::Incarnation incarnation,
                                             base::TimePoint now) const {
  const auto it = reported_by_peers_.find(name);
  return it != reported_by_peers_.end() &&
         it->second.incarnation == incarnation && now < it->second.until;
}

base::TimePoint EndpointBackoffs::LastEndOf(
    const base::EndpointName& name,
    base::Incarnation incarnation) const {
  const auto it = reported_by_peers_.find(name);
  if (it == reported_by_peers_.end() || it->second.incarnation != incarnation)
    return EndOf(name);
  return std::max(EndOf(name), it->second.until);
}

std::vector<BackoffReport> EndpointBackoffs::ActiveReports(
    base::TimePoint now) const {
  std::vector<BackoffReport> reports;
  for (const ByName* times : {&own_, &reported_by_peers_}) {
    for (const auto& [name, time] : *times) {
      const bool is_reported =
          now < time.until && time.incarnation != base::Incarnation{};
      if (is_reported && reports.size() < kMaxReported)
        reports.push_back({name, time.incarnation, time.until - time.asked_at,
                           now - time.asked_at});
    }
  }
  return reports;
}

std::vector<base::EndpointName> EndpointBackoffs::TakeEnded(
    base::TimePoint now) {
  std::vector<base::EndpointName> ended;
  for (ByName* times : {&own_, &reported_by_peers_}) {
    const ByName& others = times == &own_ ? reported_by_peers_ : own_;
    for (auto it = times->begin(); it != times->end();) {
      if (it->second.until > now) {
        ++it;
        continue;
      }
      if (!others.contains(it->first))
        ended.push_back(it->first);
      it = times->erase(it);
    }
  }
  return ended;
}

std::optional<base::TimePoint> EndpointBackoffs::NextEnd() const {
  std::optional<base::TimePoint> next;
  for (const ByName* times : {&own_, &reported_by_peers_}) {
    for (const auto& [name, time] : *times) {
      if (!next || time.until < *next)
        next = time.until;
    }
  }
  return next;
}

}  // namespace bilberry::forward
