#include "LibForward/outlier_ejector.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

constexpr uint32_t kMaxDoublings = 8;

}  // namespace

void OutlierEjector::NoteAnswered(const base::EndpointName& name) {
  const auto it = entries_.find(name);
  if (it != entries_.end())
    it->second.failures = 0;
}

void OutlierEjector::NoteFailed(const base::EndpointName& name,
                                const EjectionPolicy& policy,
                                base::TimePoint now) {
  Entry& entry = entries_[name];
  ++entry.failures;
  if (entry.failures < policy.failures_to_eject)
    return;
  const uint32_t doublings =
      std::min(entry.failures - policy.failures_to_eject, kMaxDoublings);
  entry.ejected_until =
      now + std::min(policy.first * (int64_t{1} << doublings), policy.longest);
}

void OutlierEjector::EjectUntil(const base::EndpointName& name,
                                base::TimePoint until) {
  entries_[name].ejected_until = until;
}

uint32_t OutlierEjector::CountOf(const base::EndpointName& name) const {
  const auto it = entries_.find(name);
  return it == entries_.end() ? 0 : it->second.failures;
}

base::TimePoint OutlierEjector::EjectedUntil(
    const base::EndpointName& name) const {
  const auto it = entries_.find(name);
  return it == entries_.end() ? base::TimePoint() : it->second.ejected_until;
}

void OutlierEjector::KeepOnly(std::span<const ListedEndpoint> listed) {
  KeepListed(entries_, listed);
}

}  // namespace bilberry::forward
