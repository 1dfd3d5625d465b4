#include "LibForward/crash_tracker.h"

#include <algorithm>
#include <iterator>
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
policy::CrashSuspicion SuspicionOf(const policy::CrashSuspect& suspect,
                                   const ListedEndpoint& endpoint,
                                   base::Duration age) {
  if (endpoint.incarnation == base::Incarnation{})
    return {suspect.name, endpoint.name, age, policy::CrashedName::kEndpoint,
            suspect.depth};
  return {suspect.name,
          {endpoint.name.value + "#" +
           std::to_string(static_cast<uint64_t>(endpoint.incarnation))},
          age,
          policy::CrashedName::kProcess,
          suspect.depth};
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
                              const std::vector<policy::CrashSuspect>& suspects,
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
  for (const policy::CrashSuspect& it : suspects) {
    // Jobs of peers of earlier versions have no digest.
    if (!it.name.empty() &&
        broken.suspects.size() < policy::kMaxSuspectsPerCrash)
      broken.suspects.emplace(it.name, it);
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
  EndpointCrash crash{broken.listed, std::move(evidence), {}};
  for (const auto& [suspect_name, suspect] : broken.suspects) {
    const policy::CrashSuspicion suspicion =
        SuspicionOf(suspect, broken.listed, now - broken.broke_at);
    quarantine_.NoteOwnSuspicion(suspicion, now);
    NoteSuspect(suspicion, now);
    news_.suspicions.push_back(suspicion);
    crash.suspects.push_back(suspect);
  }
  crashes_.push_back(std::move(crash));
  JudgeParts(now);
}

void CrashTracker::JudgeParts(base::TimePoint now) {
  std::ranges::move(quarantine_.JudgeParts(now),
                    std::back_inserter(newly_refused_parts_));
}

void CrashTracker::NoteSuspect(const policy::CrashSuspicion& suspicion,
                               base::TimePoint now) {
  const std::string& name = suspicion.request;
  if (suspicion.depth != policy::kWholeRequest)
    TellAnswer(suspicion, now);
  else if (quarantine_.IsQuarantined(name, now) && refused_.insert(name).second)
    newly_refused_.push_back(name);
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
    broken.suspects.erase(digest);
  AddClearance({digest}, now);
}

void CrashTracker::AddClearance(policy::CrashSuspect suspect,
                                base::TimePoint at) {
  if (clearances_.size() == kMaxClearances)
    clearances_.erase(clearances_.begin());
  clearances_.push_back({std::move(suspect), at});
}

void CrashTracker::NoteBegun(const std::vector<policy::CrashSuspect>& parts,
                             base::TimePoint now) {
  for (const policy::CrashSuspect& it : parts) {
    if (ClearPart(it.name, now))
      news_.answered.push_back({it.name, base::Duration(0)});
  }
}

bool CrashTracker::ClearPart(const std::string& part, base::TimePoint at) {
  if (!quarantine_.NotePartAnswered(part, at))
    return false;
  AddClearance({part, 0}, at);
  return true;
}

void CrashTracker::TellAnswer(const policy::CrashSuspicion& suspicion,
                              base::TimePoint now) {
  const auto at = quarantine_.PartAnsweredAt(suspicion.request);
  if (!at || *at <= now - suspicion.age)
    return;
  const bool is_told = std::ranges::any_of(clearances_, [&](const auto& it) {
    return it.suspect.name == suspicion.request && it.at > now - suspicion.age;
  });
  if (is_told)
    return;
  AddClearance({suspicion.request, 0}, *at);
  news_.answered.push_back({suspicion.request, now - *at});
}

void CrashTracker::Apply(const CrashNews& news, base::TimePoint now) {
  for (const policy::CrashSuspicion& it : news.suspicions) {
    if (it.age < base::Duration(0) || it.age >= policy::kQuarantinePeriod)
      continue;
    quarantine_.NotePeerSuspicion(it, now);
    NoteSuspect(it, now);
  }
  for (const std::string& digest : news.cleared) {
    if (CrashCountOf(digest) > 0)
      Clear(digest, now);
  }
  for (const PartAnswer& it : news.answered) {
    if (it.age >= base::Duration(0))
      ClearPart(it.part, now - it.age);
  }
  if (!news.is_empty())
    JudgeParts(now);
}

std::optional<RefusedPart> CrashTracker::FindRefusedPart(
    const std::vector<policy::CrashSuspect>& parts,
    base::TimePoint now) const {
  if (quarantine_.quarantined_count() == 0)
    return std::nullopt;
  for (const policy::CrashSuspect& it : parts) {
    if (const auto until = quarantine_.PartRefusedUntil(it.name, now))
      return RefusedPart{it.name, *until};
  }
  return std::nullopt;
}

bool CrashTracker::IsQuarantined(const std::string& digest,
                                 base::TimePoint now) {
  return !IsIdle() && quarantine_.IsQuarantined(digest, now);
}

size_t CrashTracker::CrashCountOf(const std::string& digest) const {
  if (IsIdle())
    return 0;
  const auto undecided = std::ranges::count_if(broken_, [&](const auto& it) {
    return it.second.suspects.contains(digest);
  });
  return quarantine_.CrashCountOf(digest) + static_cast<size_t>(undecided);
}

std::optional<base::TimePoint> CrashTracker::UndecidedUntil(
    const std::string& digest,
    base::TimePoint now) const {
  std::optional<base::TimePoint> until;
  for (const auto& [name, broken] : broken_) {
    const base::TimePoint end = broken.broke_at + kMaxUndecided;
    if (now < end && broken.suspects.contains(digest))
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

std::vector<std::string> CrashTracker::TakeRefusedParts() {
  return std::exchange(newly_refused_parts_, {});
}

CrashNews CrashTracker::TakeNews() {
  return std::exchange(news_, {});
}

CrashNews CrashTracker::NewsToRepeat(base::TimePoint now) const {
  CrashNews news;
  news.suspicions =
      quarantine_.SuspicionsToRepeat(kCrashesToRepeat, now - kToldFor, now);
  for (const Clearance& it : clearances_) {
    if (it.suspect.depth == policy::kWholeRequest)
      news.cleared.push_back(it.suspect.name);
    else
      news.answered.push_back({it.suspect.name, now - it.at});
  }
  return news;
}

CrashNews CrashTracker::OwnNews() const {
  return {quarantine_.SuspicionsToGossip(), {}, {}};
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
