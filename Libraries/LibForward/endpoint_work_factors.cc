#include "LibForward/endpoint_work_factors.h"

#include <chrono>

namespace bilberry::forward {

namespace {

// The factor changes many times per second, so that an older one says nothing.
constexpr std::chrono::milliseconds kMaxAge{300};

}  // namespace

void EndpointWorkFactors::Note(const base::EndpointName& name,
                               base::Incarnation incarnation,
                               double factor,
                               base::TimePoint now) {
  entries_[name] = {incarnation, factor, now};
}

double EndpointWorkFactors::FactorOf(const base::EndpointName& name,
                                     base::Incarnation incarnation,
                                     base::TimePoint now) const {
  const auto it = entries_.find(name);
  if (it == entries_.end() || it->second.incarnation != incarnation ||
      now - it->second.noted_at > kMaxAge)
    return 1;
  return it->second.factor;
}

void EndpointWorkFactors::KeepOnly(std::span<const ListedEndpoint> listed) {
  KeepListed(entries_, listed);
}

}  // namespace bilberry::forward
