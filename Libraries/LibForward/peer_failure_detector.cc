#include "LibForward/peer_failure_detector.h"

#include <algorithm>

namespace bilberry::forward {

namespace {

// Hosts are watched for this long after something was asked of them.
constexpr std::chrono::seconds kUseLasts{3};
// The time until a quiet host is asked grows with the fleet, so that a host
// that all others rely on isn't asked all the time.
constexpr std::chrono::milliseconds kQuietPerHost{7};
constexpr std::chrono::milliseconds kShortestQuiet{150};
constexpr std::chrono::milliseconds kLongestQuiet{600};
// A host answers at once; a lost packet is sent again after 200 ms (the
// kernel's shortest retransmission time).
constexpr std::chrono::milliseconds kShortestTimeout{350};
// A host that looks at an answer's time limit this much too late lags itself.
constexpr std::chrono::milliseconds kOwnLag{60};
constexpr uint32_t kMissesUntilLost = 2;

}  // namespace

void PeerFailureDetector::SetFleetSize(size_t hosts) {
  pace_.quiet = std::clamp(kQuietPerHost * static_cast<int64_t>(hosts),
                           kShortestQuiet, kLongestQuiet);
  pace_.timeout = std::max(kShortestTimeout, pace_.quiet);
}

void PeerFailureDetector::Monitor(std::set<base::HostName> hosts) {
  guarded_ = std::move(hosts);
  for (const base::HostName& host : guarded_)
    watched_.try_emplace(host);
}

void PeerFailureDetector::NoteUse(const base::HostName& host,
                                  base::TimePoint now) {
  Watched& it = watched_[host];
  if (it.used_until <= now && !it.is_open)
    it.due = std::max(it.due, now + pace_.quiet);
  it.used_until = now + kUseLasts;
  used_until_ = it.used_until;
}

bool PeerFailureDetector::IsWanted(const base::HostName& host,
                                   const Watched& it,
                                   base::TimePoint now) const {
  if (guarded_.contains(host) || it.used_until > now)
    return true;
  // One that is silent is not used, and is to be found again.
  return it.misses > 0 && used_until_ > now;
}

std::vector<base::HostName> PeerFailureDetector::TakeDueProbes(
    base::TimePoint now) {
  latest_ = now;
  std::vector<base::HostName> due;
  for (auto& [host, it] : watched_) {
    if (it.is_open || it.due > now || !IsWanted(host, it, now))
      continue;
    it.is_open = true;
    it.asked = now;
    due.push_back(host);
  }
  return due;
}

void PeerFailureDetector::NoteHeard(const base::HostName& host,
                                    base::TimePoint now) {
  const auto it = watched_.find(host);
  if (it == watched_.end())
    return;
  it->second.is_open = false;
  it->second.misses = 0;
  it->second.due = now + pace_.quiet;
}

ProbeVerdict PeerFailureDetector::NoteProbeFailed(const base::HostName& host,
                                                  base::TimePoint now) {
  const auto it = watched_.find(host);
  // Heard of meanwhile, over another connection.
  if (it == watched_.end() || !it->second.is_open)
    return ProbeVerdict::kNone;
  Watched& watched = it->second;
  watched.is_open = false;
  watched.due = now;
  if (now > watched.asked + pace_.timeout + kOwnLag)
    return ProbeVerdict::kNone;
  // One that refuses connections tells so at once.
  watched.due = std::max(now, watched.asked + pace_.quiet);
  ++watched.misses;
  return watched.misses < kMissesUntilLost ? ProbeVerdict::kSuspect
                                           : ProbeVerdict::kLost;
}

std::optional<base::TimePoint> PeerFailureDetector::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& [host, it] : watched_) {
    if (!it.is_open && IsWanted(host, it, latest_) && (!next || it.due < *next))
      next = it.due;
  }
  return next;
}

}  // namespace bilberry::forward
