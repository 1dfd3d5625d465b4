#include "LibPolicy/quarantine.h"

#include <algorithm>

namespace bilberry::policy {

void Quarantine::NoteDisconnect(const std::string& request,
                                const base::EndpointName& endpoint,
                                base::TimePoint now) {
  AddSuspect(FindOrAddCrash(endpoint, Source::kOwn, now), request);
  Evaluate(request, now);
}

void Quarantine::NotePeerSuspicion(const CrashSuspicion& suspicion,
                                   base::TimePoint now) {
  Crash& crash = FindOrAddCrash(suspicion.endpoint, Source::kPeer, now);
  crash.last_reported = now;
  AddSuspect(crash, suspicion.request);
  Evaluate(suspicion.request, now);
}

Quarantine::Crash& Quarantine::FindOrAddCrash(
    const base::EndpointName& endpoint,
    Source source,
    base::TimePoint now) {
  const auto found =
      std::find_if(crashes_.rbegin(), crashes_.rend(), [&](const Crash& crash) {
        if (crash.endpoint != endpoint)
          return false;
        const bool is_from_peer =
            source == Source::kPeer || crash.source == Source::kPeer;
        return is_from_peer ? now - crash.last_reported <= kPeerCrashMergeWindow
                            : now - crash.began <= kCrashMergeWindow;
      });
  if (found != crashes_.rend()) {
    // A crash that this host observes itself is gossiped to its peers, even if
    // a peer reported it first.
    if (source == Source::kOwn && found->source == Source::kPeer) {
      found->source = Source::kOwn;
      found->began = now;
    }
    return *found;
  }
  if (crashes_.size() == kMaxCrashes)
    crashes_.pop_front();
  crashes_.push_back({endpoint, now, now, source, {}});
  return crashes_.back();
}

void Quarantine::AddSuspect(Crash& crash, const std::string& request) {
  if (crash.suspects.size() < kMaxSuspectsPerCrash)
    crash.suspects.insert(request);
}

std::vector<const Quarantine::Crash*> Quarantine::CrashesWithSuspect(
    const std::string& request) const {
  std::vector<const Crash*> found;
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
  if (crashes.size() < kCrashesToQuarantine)
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
  if (crashes.size() < kCrashesToQuarantine)
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
  std::erase_if(crashes_, was_no_crash);
  for (const std::string& request : cleared) {
    if (CrashesWithSuspect(request).size() < kCrashesToQuarantine)
      quarantined_.erase(request);
  }
}

void Quarantine::Clear(const std::string& request) {
  for (Crash& crash : crashes_)
    crash.suspects.erase(request);
}

void Quarantine::Advance(base::TimePoint now) {
  last_advance_ = now;
  while (!crashes_.empty() && crashes_.front().began + kQuarantinePeriod <= now)
    crashes_.pop_front();
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
        result.push_back({request, it->endpoint});
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

}  // namespace bilberry::policy
