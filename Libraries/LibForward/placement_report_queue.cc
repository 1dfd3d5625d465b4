#include "LibForward/placement_report_queue.h"

#include <algorithm>
#include <chrono>

namespace bilberry::forward {

namespace {

// Bounds the messages that an owner gets: each host sends it one for each
// domain and interval, whatever the number of its runs.
constexpr std::chrono::milliseconds kReportInterval{50};

}  // namespace

void PlacementReportQueue::Add(const base::HostName& owner,
                               const PlacementDomain& domain,
                               RunReport report) {
  batches_[owner].reports[domain].push_back(std::move(report));
}

void PlacementReportQueue::Drop(const PlacementDomain& domain) {
  for (auto& [owner, batch] : batches_)
    batch.reports.erase(domain);
}

std::vector<std::pair<base::HostName, PlacementReport>>
PlacementReportQueue::TakeDue(base::TimePoint now) {
  std::vector<std::pair<base::HostName, PlacementReport>> due;
  for (auto& [owner, batch] : batches_) {
    if (batch.reports.empty() || now < batch.next_send)
      continue;
    for (auto& [domain, runs] : batch.reports)
      due.push_back({owner, {domain, std::move(runs)}});
    batch.reports.clear();
    batch.next_send = now + kReportInterval;
  }
  return due;
}

std::optional<base::TimePoint> PlacementReportQueue::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& [owner, batch] : batches_) {
    if (!batch.reports.empty())
      next = std::min(next.value_or(batch.next_send), batch.next_send);
  }
  return next;
}

}  // namespace bilberry::forward
