#include "LibForward/reach_monitor.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// A pool counts as cut after failures at half of its endpoints, but at this
// many of them or all if it has fewer, and this many failures in all. One of
// them has to be a probe's, as endpoints that crowds keep busy, or that crash
// at the same moment, refuse connections as well.
constexpr size_t kEndpointsToCut = 3;
constexpr uint32_t kFailuresToCut = 3;
// All pools count as cut after failures at this many endpoints, and failures of
// probes in this many pools.
constexpr size_t kEndpointsToCutOff = 4;
constexpr size_t kPoolsToCutOff = 2;
// Probes are sent after failures at this many endpoints.
constexpr size_t kEndpointsToProbe = 2;
// How long a failure counts if it doesn't lead to a cut.
constexpr std::chrono::milliseconds kEvidenceTime{3000};
constexpr std::chrono::milliseconds kProbeInterval{500};

}  // namespace

void ReachMonitor::SetEndpoints(std::span<const ListedEndpoint> endpoints,
                                base::TimePoint now) {
  for (auto& [name, pool] : pools_)
    pool.serving.clear();
  pool_of_.clear();
  for (const ListedEndpoint& it : endpoints) {
    if (it.state != EndpointState::kServing)
      continue;
    pools_[it.pool].serving.push_back(it);
    pool_of_[it.name] = it.pool;
  }
  for (auto& [name, pool] : pools_)
    std::erase_if(pool.failures, [this](const auto& failure) {
      return !pool_of_.contains(failure.first);
    });
  std::erase_if(pools_,
                [](const auto& it) { return it.second.serving.empty(); });
  Judge(now);
}

ReachMonitor::Pool* ReachMonitor::PoolOf(const base::EndpointName& name) {
  const auto it = pool_of_.find(name);
  return it == pool_of_.end() ? nullptr : &pools_.at(it->second);
}

void ReachMonitor::NoteUnreachable(const base::EndpointName& name,
                                   Purpose purpose,
                                   base::TimePoint began,
                                   base::TimePoint now) {
  Pool* const pool = PoolOf(name);
  if (pool == nullptr)
    return;
  Failure& failure = pool->failures[name];
  failure.began = std::max(failure.began, began);
  ++failure.count;
  failure.has_failed_probe |= purpose == Purpose::kProbe;
  Judge(now);
}

void ReachMonitor::NoteReached(const base::EndpointName& name,
                               base::TimePoint began,
                               base::TimePoint now) {
  Pool* const pool = PoolOf(name);
  if (pool == nullptr)
    return;
  reached_as_of_ = std::max(reached_as_of_, began);
  std::erase_if(pool->failures,
                [began](const auto& it) { return it.second.began <= began; });
  Judge(now);
}

bool ReachMonitor::IsCutFrom(const base::PoolName& pool) const {
  if (is_cut_off_)
    return true;
  const auto it = pools_.find(pool);
  return it != pools_.end() && it->second.is_cut;
}

std::vector<base::PoolName> ReachMonitor::CutPools() const {
  std::vector<base::PoolName> cut;
  for (const auto& [name, pool] : pools_) {
    if (is_cut_off_ || pool.is_cut)
      cut.push_back(name);
  }
  return cut;
}

void ReachMonitor::DropOldFailures(base::TimePoint now) {
  if (is_cut_off_)
    return;
  for (auto& [name, pool] : pools_) {
    if (pool.is_cut)
      continue;
    std::erase_if(pool.failures, [now](const auto& it) {
      return now > it.second.began + kEvidenceTime;
    });
  }
}

bool ReachMonitor::IsCut(const Pool& pool) {
  uint32_t count = 0;
  bool has_failed_probe = false;
  for (const auto& [name, failure] : pool.failures) {
    count += failure.count;
    has_failed_probe |= failure.has_failed_probe;
  }
  const size_t serving = pool.serving.size();
  const size_t endpoints =
      std::max(std::min(kEndpointsToCut, serving), (serving + 1) / 2);
  return has_failed_probe && pool.failures.size() >= endpoints &&
         count >= kFailuresToCut;
}

bool ReachMonitor::IsCutOff() const {
  size_t endpoints = 0;
  size_t pools = 0;
  for (const auto& [name, pool] : pools_) {
    bool has_failed_probe = false;
    for (const auto& [endpoint, failure] : pool.failures) {
      if (failure.began <= reached_as_of_)
        continue;
      ++endpoints;
      has_failed_probe |= failure.has_failed_probe;
    }
    pools += has_failed_probe ? 1 : 0;
  }
  return endpoints >= kEndpointsToCutOff && pools >= kPoolsToCutOff;
}

void ReachMonitor::Judge(base::TimePoint now) {
  DropOldFailures(now);
  bool has_changed = false;
  for (auto& [name, pool] : pools_) {
    const bool is_cut = IsCut(pool);
    has_changed |= is_cut != pool.is_cut;
    pool.is_cut = is_cut;
  }
  const bool is_cut_off = IsCutOff();
  has_changed |= is_cut_off != is_cut_off_;
  is_cut_off_ = is_cut_off;
  if (has_changed)
    ++changes_;
}

bool ReachMonitor::HasCut() const {
  return is_cut_off_ || std::ranges::any_of(pools_, [](const auto& it) {
           return it.second.is_cut;
         });
}

bool ReachMonitor::IsSuspicious() const {
  size_t endpoints = 0;
  for (const auto& [name, pool] : pools_)
    endpoints += pool.failures.size();
  return endpoints >= kEndpointsToProbe || HasCut();
}

// One that hasn't failed tells more.
const ListedEndpoint& ReachMonitor::ProbedOf(const Pool& pool) {
  std::vector<const ListedEndpoint*> untried;
  for (const ListedEndpoint& it : pool.serving) {
    if (!pool.failures.contains(it.name))
      untried.push_back(&it);
  }
  return untried.empty() ? pool.serving[random_.Below(pool.serving.size())]
                         : *untried[random_.Below(untried.size())];
}

std::vector<ListedEndpoint> ReachMonitor::TakeDueProbes(base::TimePoint now) {
  std::vector<ListedEndpoint> probed;
  // Nearly always there is no suspicion.
  if (now < next_probe_ || !IsSuspicious())
    return probed;
  DropOldFailures(now);
  if (!IsSuspicious())
    return probed;
  next_probe_ = now + kProbeInterval;
  for (const auto& [name, pool] : pools_)
    probed.push_back(ProbedOf(pool));
  return probed;
}

std::optional<base::TimePoint> ReachMonitor::NextWakeup() const {
  if (!IsSuspicious())
    return std::nullopt;
  return next_probe_;
}

}  // namespace bilberry::forward
