#include "LibForward/peer_failure_detector.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// A host is watched for this long after the last request to it.
constexpr std::chrono::seconds kUseDuration{3};
// The delay before a probe grows with the fleet, so that a host on which all
// others rely isn't probed constantly.
constexpr std::chrono::milliseconds kProbeDelayPerHost{7};
constexpr std::chrono::milliseconds kMinProbeDelay{150};
constexpr std::chrono::milliseconds kMaxProbeDelay{600};
// A healthy host answers at once, but a lost packet is only sent again after
// 200 ms, the kernel's shortest retransmission timeout.
constexpr std::chrono::milliseconds kMinProbeTimeout{350};
// If this host notices the timeout of a probe this much too late, it lags
// itself and the missing answer says nothing about the peer.
constexpr std::chrono::milliseconds kMaxOwnLag{60};
constexpr uint32_t kFailedProbesUntilLost = 2;

}  // namespace

void PeerFailureDetector::SetFleetSize(size_t hosts) {
  pace_.probe_delay =
      std::clamp(kProbeDelayPerHost * static_cast<int64_t>(hosts),
                 kMinProbeDelay, kMaxProbeDelay);
  pace_.timeout = std::max(kMinProbeTimeout, pace_.probe_delay);
}

void PeerFailureDetector::Monitor(std::set<base::HostName> hosts) {
  monitored_ = std::move(hosts);
  for (const base::HostName& host : monitored_)
    watched_.try_emplace(host);
}

void PeerFailureDetector::NoteUse(const base::HostName& host,
                                  base::TimePoint now) {
  Watched& it = watched_[host];
  if (it.used_until <= now && !it.is_probing)
    it.due = std::max(it.due, now + pace_.probe_delay);
  it.used_until = now + kUseDuration;
  used_until_ = it.used_until;
}

bool PeerFailureDetector::ShouldProbe(const base::HostName& host,
                                      const Watched& it,
                                      base::TimePoint now) const {
  if (monitored_.contains(host) || it.used_until > now)
    return true;
  // A suspected host gets no requests. It is probed as long as any host is in
  // use, so that its recovery is noticed.
  return it.failed_probes > 0 && used_until_ > now;
}

std::vector<base::HostName> PeerFailureDetector::TakeDueProbes(
    base::TimePoint now) {
  last_taken_ = now;
  std::vector<base::HostName> due;
  for (auto& [host, it] : watched_) {
    if (it.is_probing || it.due > now || !ShouldProbe(host, it, now))
      continue;
    it.is_probing = true;
    it.probed_at = now;
    due.push_back(host);
  }
  return due;
}

void PeerFailureDetector::NoteHeard(const base::HostName& host,
                                    base::TimePoint now) {
  const auto it = watched_.find(host);
  if (it == watched_.end())
    return;
  it->second.is_probing = false;
  it->second.failed_probes = 0;
  it->second.due = now + pace_.probe_delay;
}

ProbeVerdict PeerFailureDetector::NoteProbeFailed(const base::HostName& host,
                                                  base::TimePoint now) {
  const auto it = watched_.find(host);
  // The host has answered meanwhile over another connection.
  if (it == watched_.end() || !it->second.is_probing)
    return ProbeVerdict::kNone;
  Watched& watched = it->second;
  watched.is_probing = false;
  watched.due = now;
  if (now > watched.probed_at + pace_.timeout + kMaxOwnLag)
    return ProbeVerdict::kNone;
  // A host that refuses connections fails its probes at once, so the next probe
  // must not follow immediately.
  watched.due = std::max(now, watched.probed_at + pace_.probe_delay);
  ++watched.failed_probes;
  return watched.failed_probes < kFailedProbesUntilLost ? ProbeVerdict::kSuspect
                                                        : ProbeVerdict::kLost;
}

std::optional<base::TimePoint> PeerFailureDetector::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& [host, it] : watched_) {
    if (!it.is_probing && ShouldProbe(host, it, last_taken_) &&
        (!next || it.due < *next))
      next = it.due;
  }
  return next;
}

}  // namespace bilberry::forward
