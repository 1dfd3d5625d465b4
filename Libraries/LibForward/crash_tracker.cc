#include "LibForward/crash_tracker.h"

#include <algorithm>
#include <utility>

namespace bilberry::forward {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A request waits no longer than this for the first health check.
constexpr milliseconds kMaxUndecided{100};
// Intervals between the health checks of one endpoint; each is twice the last.
constexpr milliseconds kFirstCheckInterval{100};
constexpr milliseconds kLongestCheckInterval{1000};
// Checks end after this time; the connection then doesn't count as a crash.
constexpr seconds kMaxCheckTime{5};
// From this time on, a process of the same name may be a restarted one.
constexpr milliseconds kMinRestartTime{1000};
constexpr size_t kMaxBroken = 64;
// Peers are told suspicions of a single crash for this long, and suspicions of
// requests with this many crashes as long as they are known.
constexpr seconds kToldFor{2};
constexpr size_t kCrashesToRepeat = 2;
// How long peers are told that a request was answered.
constexpr seconds kClearanceToldFor{5};
constexpr size_t kMaxClearances = 256;

// Names the process of the endpoint that crashed, if the list tells processes
// apart.
policy::CrashSuspicion SuspicionOf(const std::string& digest,
                                   const ListedEndpoint& endpoint,
                                   base::Duration age) {
  if (endpoint.incarnation == base::Incarnation{})
    return {digest, endpoint.name, age, policy::CrashedName::kEndpoint};
  return {digest,
          {endpoint.name.value + "#" +
           std::to_string(static_cast<uint64_t>(endpoint.incarnation))},
          age,
          policy::CrashedName::kProcess};
}

bool IsSameProcess(const ListedEndpoint& left, const ListedEndpoint& right) {
  return left.incarnation == right.incarnation && left.address == right.address;
}

}  // namespace

bool CrashTracker::IsIdle() const {
  return broken_.empty() && quarantine_.crash_count() == 0 &&
         quarantine_.quarantined_count() == 0;
}

void CrashTracker::SetEndpoints(std::span<const ListedEndpoint> endpoints,
                                base::TimePoint now) {
  listed_.clear();
  for (const ListedEndpoint& it : endpoints)
    listed_.emplace(it.name, it);
  std::vector<base::EndpointName> gone;
  for (const auto& [name, broken] : broken_) {
    const auto it = listed_.find(name);
    if (it != listed_.end() && !IsSameProcess(it->second, broken.listed))
      gone.push_back(name);
  }
  for (const base::EndpointName& it : gone)
    NoteCrash(it, "relisted", now);
  // An endpoint that leaves ends by itself, and one in an evacuated zone is
  // sent nothing. That an endpoint isn't listed any more may only mean that it
  // can't reach the store.
  std::erase_if(broken_, [this](const auto& it) {
    const auto listed = listed_.find(it.first);
    return listed != listed_.end() &&
           listed->second.state != EndpointState::kServing;
  });
}

void CrashTracker::NoteBroken(const base::EndpointName& name,
                              const std::vector<std::string>& digests,
                              base::TimePoint now) {
  const auto listed = listed_.find(name);
  if (listed == listed_.end() ||
      listed->second.state != EndpointState::kServing)
    return;
  if (broken_.size() >= kMaxBroken && !broken_.contains(name))
    return;
  const auto [it, is_new] = broken_.try_emplace(name);
  BrokenEndpoint& broken = it->second;
  if (is_new)
    broken = {listed->second, now, {}, now, kFirstCheckInterval, false};
  for (const std::string& digest : digests) {
    // Jobs of peers of earlier versions have no digest.
    if (!digest.empty() && broken.digests.size() < policy::kMaxSuspectsPerCrash)
      broken.digests.insert(digest);
  }
}

void CrashTracker::NoteChecked(const base::EndpointName& name,
                               base::Incarnation incarnation,
                               HealthCheckResult result,
                               base::TimePoint now) {
  const auto it = broken_.find(name);
  if (it == broken_.end() || it->second.listed.incarnation != incarnation)
    return;
  BrokenEndpoint& broken = it->second;
  broken.is_being_checked = false;
  switch (result) {
    case HealthCheckResult::kNoProcess:
      NoteCrash(name, "no process", now);
      return;
    case HealthCheckResult::kOtherProcess:
      NoteCrash(name, "another process", now);
      return;
    case HealthCheckResult::kSameProcess:
      broken_.erase(it);
      return;
    case HealthCheckResult::kUnknown:
      broken.next_check = now + broken.check_interval;
      broken.check_interval = std::min<base::Duration>(
          broken.check_interval * 2, kLongestCheckInterval);
      return;
  }
}

void CrashTracker::NoteCrash(const base::EndpointName& name,
                             std::string evidence,
                             base::TimePoint now) {
  const auto node = broken_.extract(name);
  const BrokenEndpoint& broken = node.mapped();
  for (const std::string& digest : broken.digests) {
    const policy::CrashSuspicion suspicion =
        SuspicionOf(digest, broken.listed, now - broken.broke_at);
    quarantine_.NoteDisconnect(digest, suspicion.endpoint, now, suspicion.kind);
    NoteSuspect(digest, now);
    news_.suspicions.push_back(suspicion);
  }
  crashes_.push_back({broken.listed,
                      std::move(evidence),
                      {broken.digests.begin(), broken.digests.end()}});
}

void CrashTracker::NoteSuspect(const std::string& digest, base::TimePoint now) {
  if (quarantine_.IsQuarantined(digest, now) && refused_.insert(digest).second)
    newly_refused_.push_back(digest);
}

void CrashTracker::NoteAnswered(const std::string& digest,
                                base::TimePoint now) {
  if (IsIdle() || !quarantine_.Clear(digest))
    return;
  Clear(digest, now);
  news_.cleared.push_back(digest);
}

void CrashTracker::Clear(const std::string& digest, base::TimePoint now) {
  quarantine_.Clear(digest);
  refused_.erase(digest);
  for (auto& [name, broken] : broken_)
    broken.digests.erase(digest);
  if (clearances_.size() == kMaxClearances)
    clearances_.erase(clearances_.begin());
  clearances_.push_back({digest, now});
}

void CrashTracker::Apply(const CrashNews& news, base::TimePoint now) {
  for (const policy::CrashSuspicion& it : news.suspicions) {
    if (it.age < base::Duration(0) || it.age >= policy::kQuarantinePeriod)
      continue;
    quarantine_.NotePeerSuspicion(it, now);
    NoteSuspect(it.request, now);
  }
  for (const std::string& digest : news.cleared) {
    if (CrashCountOf(digest) > 0)
      Clear(digest, now);
  }
}

bool CrashTracker::IsQuarantined(const std::string& digest,
                                 base::TimePoint now) {
  return !IsIdle() && quarantine_.IsQuarantined(digest, now);
}

size_t CrashTracker::CrashCountOf(const std::string& digest) const {
  if (IsIdle())
    return 0;
  const auto undecided = std::ranges::count_if(broken_, [&](const auto& it) {
    return it.second.digests.contains(digest);
  });
  return quarantine_.CrashCountOf(digest) + static_cast<size_t>(undecided);
}

std::optional<base::TimePoint> CrashTracker::UndecidedUntil(
    const std::string& digest,
    base::TimePoint now) const {
  std::optional<base::TimePoint> until;
  for (const auto& [name, broken] : broken_) {
    const base::TimePoint end = broken.broke_at + kMaxUndecided;
    if (now < end && broken.digests.contains(digest))
      until = std::max(until.value_or(end), end);
  }
  return until;
}

std::vector<ListedEndpoint> CrashTracker::TakeDueChecks(base::TimePoint now) {
  Advance(now);
  std::vector<ListedEndpoint> due;
  for (auto& [name, broken] : broken_) {
    if (broken.is_being_checked || now < broken.next_check)
      continue;
    broken.is_being_checked = true;
    due.push_back(broken.listed);
  }
  return due;
}

// A check that began before the restart time is over can't have met a restarted
// process of the same name, so checks of endpoints without an incarnation end
// by then.
void CrashTracker::Advance(base::TimePoint now) {
  std::erase_if(broken_, [now](const auto& it) {
    const bool tells_processes_apart =
        it.second.listed.incarnation != base::Incarnation{};
    return now >= it.second.broke_at + (tells_processes_apart
                                            ? base::Duration(kMaxCheckTime)
                                            : base::Duration(kMinRestartTime));
  });
  std::erase_if(clearances_, [now](const Clearance& it) {
    return it.at + kClearanceToldFor <= now;
  });
  quarantine_.Advance(now);
  std::erase_if(refused_, [&](const std::string& it) {
    return quarantine_.CrashCountOf(it) == 0;
  });
}

std::vector<EndpointCrash> CrashTracker::TakeCrashes() {
  return std::exchange(crashes_, {});
}

std::vector<std::string> CrashTracker::TakeQuarantined() {
  return std::exchange(newly_refused_, {});
}

CrashNews CrashTracker::TakeNews() {
  return std::exchange(news_, {});
}

CrashNews CrashTracker::NewsToRepeat(base::TimePoint now) const {
  CrashNews news;
  news.suspicions =
      quarantine_.SuspicionsToRepeat(kCrashesToRepeat, now - kToldFor, now);
  for (const Clearance& it : clearances_)
    news.cleared.push_back(it.digest);
  return news;
}

CrashNews CrashTracker::OwnNews() const {
  return {quarantine_.SuspicionsToGossip(), {}};
}

std::optional<base::TimePoint> CrashTracker::NextWakeup() const {
  std::optional<base::TimePoint> next;
  for (const auto& [name, broken] : broken_) {
    if (!broken.is_being_checked)
      next = std::min(next.value_or(broken.next_check), broken.next_check);
  }
  return next;
}

}  // namespace bilberry::forward
