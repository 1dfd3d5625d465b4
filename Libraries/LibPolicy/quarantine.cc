#include "LibPolicy/quarantine.h"

#include <algorithm>

namespace bilberry::policy {

void Quarantine::NoteDisconnect(const std::string& request,
                                const base::EndpointName& endpoint,
                                base::TimePoint now,
                                CrashedName kind) {
  const CrashSuspicion suspicion{request, endpoint, base::Duration(0), kind};
  AddSuspect(FindOrAddCrash(suspicion, Source::kOwn, now), request);
  Evaluate(request, now);
}

void Quarantine::NotePeerSuspicion(const CrashSuspicion& suspicion,
                                   base::TimePoint now) {
  Crash& crash = FindOrAddCrash(suspicion, Source::kPeer, now);
  crash.last_reported = now;
  AddSuspect(crash, suspicion.request);
  Evaluate(suspicion.request, now);
}

bool Quarantine::IsSameCrash(const Crash& crash,
                             const CrashSuspicion& suspicion,
                             Source source,
                             base::TimePoint now) const {
  if (crash.endpoint != suspicion.endpoint)
    return false;
  if (suspicion.kind == CrashedName::kProcess)
    return true;
  const bool is_from_peer =
      source == Source::kPeer || crash.source == Source::kPeer;
  if (is_from_peer && !options_.reports_tell_age)
    return now - crash.last_reported <= kPeerCrashMergeWindow;
  const base::TimePoint began = now - suspicion.age;
  return std::chrono::abs(began - crash.began) <= kCrashMergeWindow;
}

Quarantine::Crash& Quarantine::FindOrAddCrash(const CrashSuspicion& suspicion,
                                              Source source,
                                              base::TimePoint now) {
  const auto found =
      std::find_if(crashes_.rbegin(), crashes_.rend(), [&](const Crash& crash) {
        return IsSameCrash(crash, suspicion, source, now);
      });
  if (found != crashes_.rend()) {
    // A crash that this host observes itself is gossiped to its peers, even if
    // a peer reported it first.
    if (source == Source::kOwn && found->source == Source::kPeer) {
      found->source = Source::kOwn;
      if (!options_.reports_tell_age)
        found->began = now;
    }
    return *found;
  }
  if (crashes_.size() == kMaxCrashes)
    EraseCrashes([oldest = &crashes_.front()](const Crash& crash) {
      return &crash == oldest;
    });
  crashes_.push_back({suspicion.endpoint,
                      suspicion.kind,
                      now - suspicion.age,
                      now,
                      source,
                      {}});
  return crashes_.back();
}

void Quarantine::AddSuspect(Crash& crash, const std::string& request) {
  if (crash.suspects.size() < kMaxSuspectsPerCrash &&
      crash.suspects.insert(request).second)
    ++crash_counts_[request];
}

bool Quarantine::EraseSuspect(Crash& crash, const std::string& request) {
  if (crash.suspects.erase(request) == 0)
    return false;
  const auto count = crash_counts_.find(request);
  if (--count->second == 0)
    crash_counts_.erase(count);
  return true;
}

template <typename Predicate>
void Quarantine::EraseCrashes(Predicate is_erased) {
  for (Crash& crash : crashes_) {
    if (!is_erased(crash))
      continue;
    for (const std::string& request : std::set(crash.suspects))
      EraseSuspect(crash, request);
  }
  std::erase_if(crashes_, is_erased);
}

std::vector<const Quarantine::Crash*> Quarantine::CrashesWithSuspect(
    const std::string& request) const {
  std::vector<const Crash*> found;
  if (!crash_counts_.contains(request))
    return found;
  for (const Crash& crash : crashes_) {
    if (crash.suspects.contains(request))
      found.push_back(&crash);
  }
  return found;
}

bool Quarantine::HasOtherSuspect(const std::vector<const Crash*>& crashes) {
  const auto& first = crashes.front()->suspects;
  const auto is_in_all = [&](const std::string& request) {
    return std::ranges::all_of(crashes, [&](const Crash* crash) {
      return crash->suspects.contains(request);
    });
  };
  return std::ranges::count_if(first, is_in_all) > 1;
}

void Quarantine::Evaluate(const std::string& request, base::TimePoint now) {
  const auto crashes = CrashesWithSuspect(request);
  if (crashes.size() < options_.crashes_to_quarantine)
    return;
  if (crashes.size() >= kCrashesToConfirm || !HasOtherSuspect(crashes))
    BeginQuarantine(request, now);
}

void Quarantine::BeginQuarantine(const std::string& request,
                                 base::TimePoint now) {
  if (!quarantined_.contains(request) &&
      quarantined_.size() == kMaxQuarantinedRequests) {
    const auto oldest = std::ranges::min_element(
        quarantined_, {}, [](const auto& it) { return it.second.until; });
    quarantined_.erase(oldest);
  }
  quarantined_.try_emplace(request,
                           QuarantineEntry{now, now + kQuarantinePeriod});
}

void Quarantine::NotePeerQuarantine(const std::string& request,
                                    base::TimePoint now) {
  BeginQuarantine(request, now);
}

bool Quarantine::IsQuarantined(const std::string& request,
                               base::TimePoint now) {
  const auto found = quarantined_.find(request);
  if (found != quarantined_.end() && now < found->second.until) {
    found->second.until = now + kQuarantinePeriod;
    return true;
  }
  const auto crashes = CrashesWithSuspect(request);
  if (crashes.size() < options_.crashes_to_quarantine)
    return false;
  if (HasOtherSuspect(crashes))
    return now < crashes.back()->began + kAmbiguousQuarantinePeriod;
  // The other suspects have been answered meanwhile, which leaves this request
  // as the cause.
  BeginQuarantine(request, now);
  return true;
}

void Quarantine::NoteAnswer(const base::EndpointName& endpoint,
                            base::TimePoint attempt_began,
                            base::TimePoint now) {
  // The time of a crash that a peer observed is not known, so an answer cannot
  // disprove it.
  const auto was_no_crash = [&](const Crash& crash) {
    if (crash.source == Source::kPeer || crash.endpoint != endpoint)
      return false;
    if (now < crash.began + kLateAnswerWindow)
      return false;
    return attempt_began < crash.began || now < crash.began + kMinRestartTime;
  };
  std::set<std::string> cleared;
  for (const Crash& crash : crashes_) {
    if (was_no_crash(crash))
      cleared.insert(crash.suspects.begin(), crash.suspects.end());
  }
  EraseCrashes(was_no_crash);
  for (const std::string& request : cleared) {
    if (CrashCountOf(request) < options_.crashes_to_quarantine)
      quarantined_.erase(request);
  }
}

bool Quarantine::Clear(const std::string& request) {
  bool was_suspect = quarantined_.erase(request) > 0;
  for (Crash& crash : crashes_)
    was_suspect = EraseSuspect(crash, request) || was_suspect;
  return was_suspect;
}

size_t Quarantine::CrashCountOf(const std::string& request) const {
  const auto it = crash_counts_.find(request);
  return it == crash_counts_.end() ? 0 : it->second;
}

void Quarantine::Advance(base::TimePoint now) {
  last_advance_ = now;
  EraseCrashes([now](const Crash& crash) {
    return crash.began + kQuarantinePeriod <= now;
  });
  std::erase_if(quarantined_,
                [now](const auto& it) { return it.second.until <= now; });
}

std::vector<CrashSuspicion> Quarantine::SuspicionsToGossip() const {
  std::vector<CrashSuspicion> result;
  for (auto it = crashes_.rbegin(); it != crashes_.rend(); ++it) {
    if (it->source != Source::kOwn || it->began + kGossipPeriod < last_advance_)
      continue;
    for (const std::string& request : it->suspects) {
      if (result.size() < kMaxGossipedItems)
        result.push_back(
            {request, it->endpoint, last_advance_ - it->began, it->kind});
    }
  }
  return result;
}

std::vector<std::string> Quarantine::QuarantinedToGossip() const {
  std::vector<std::string> result;
  for (const auto& [request, entry] : quarantined_) {
    const bool is_new = last_advance_ <= entry.began + kGossipPeriod;
    if (is_new && result.size() < kMaxGossipedItems)
      result.push_back(request);
  }
  return result;
}

std::vector<CrashSuspicion> Quarantine::SuspicionsToRepeat(
    size_t min_crashes,
    base::TimePoint since,
    base::TimePoint now) const {
  std::vector<CrashSuspicion> result;
  for (auto it = crashes_.rbegin(); it != crashes_.rend(); ++it) {
    const bool is_recent = it->began >= since;
    for (const std::string& request : it->suspects) {
      if (result.size() == kMaxGossipedItems)
        return result;
      if (is_recent || CrashCountOf(request) >= min_crashes)
        result.push_back({request, it->endpoint, now - it->began, it->kind});
    }
  }
  return result;
}

}  // namespace bilberry::policy
