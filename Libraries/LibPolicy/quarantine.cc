#include "LibPolicy/quarantine.h"

#include <algorithm>

namespace bilberry::policy {

void Quarantine::NoteDisconnect(const std::string& request,
                                const base::EndpointName& endpoint,
                                base::TimePoint now) {
  Suspect(DeathOf(endpoint, Source::kOwn, now), request);
  Weigh(request, now);
}

void Quarantine::NotePeerSuspicion(const CrashSuspicion& suspicion,
                                   base::TimePoint now) {
  Death& death = DeathOf(suspicion.endpoint, Source::kPeer, now);
  death.last_heard = now;
  Suspect(death, suspicion.request);
  Weigh(suspicion.request, now);
}

Quarantine::Death& Quarantine::DeathOf(const base::EndpointName& endpoint,
                                       Source source,
                                       base::TimePoint now) {
  const auto found =
      std::find_if(deaths_.rbegin(), deaths_.rend(), [&](const Death& death) {
        if (death.endpoint != endpoint)
          return false;
        const bool is_told =
            source == Source::kPeer || death.source == Source::kPeer;
        return is_told ? now - death.last_heard <= kPeerCrashMergeWindow
                       : now - death.began <= kCrashMergeWindow;
      });
  if (found != deaths_.rend()) {
    // What this host has seen itself, it tells its peers.
    if (source == Source::kOwn && found->source == Source::kPeer) {
      found->source = Source::kOwn;
      found->began = now;
    }
    return *found;
  }
  if (deaths_.size() == kMaxCrashes)
    deaths_.pop_front();
  deaths_.push_back({endpoint, now, now, source, {}});
  return deaths_.back();
}

void Quarantine::Suspect(Death& death, const std::string& request) {
  if (death.suspects.size() < kMaxSuspectsPerCrash)
    death.suspects.insert(request);
}

std::vector<const Quarantine::Death*> Quarantine::DeathsWith(
    const std::string& request) const {
  std::vector<const Death*> found;
  for (const Death& death : deaths_) {
    if (death.suspects.contains(request))
      found.push_back(&death);
  }
  return found;
}

bool Quarantine::HasOtherSuspect(const std::vector<const Death*>& deaths) {
  const auto& first = deaths.front()->suspects;
  const auto is_in_all = [&](const std::string& request) {
    return std::ranges::all_of(deaths, [&](const Death* death) {
      return death->suspects.contains(request);
    });
  };
  return std::ranges::count_if(first, is_in_all) > 1;
}

void Quarantine::Weigh(const std::string& request, base::TimePoint now) {
  const auto deaths = DeathsWith(request);
  if (deaths.size() < kCrashesToQuarantine)
    return;
  if (deaths.size() >= kCrashesToConfirm || !HasOtherSuspect(deaths))
    Refuse(request, now);
}

void Quarantine::Refuse(const std::string& request, base::TimePoint now) {
  if (!refusals_.contains(request) &&
      refusals_.size() == kMaxQuarantinedRequests) {
    const auto oldest = std::ranges::min_element(
        refusals_, {}, [](const auto& it) { return it.second.until; });
    refusals_.erase(oldest);
  }
  refusals_.try_emplace(request, Refusal{now, now + kQuarantinePeriod});
}

void Quarantine::NotePeerQuarantine(const std::string& request,
                                    base::TimePoint now) {
  Refuse(request, now);
}

bool Quarantine::IsQuarantined(const std::string& request,
                               base::TimePoint now) {
  const auto found = refusals_.find(request);
  if (found != refusals_.end() && now < found->second.until) {
    found->second.until = now + kQuarantinePeriod;
    return true;
  }
  const auto deaths = DeathsWith(request);
  if (deaths.size() < kCrashesToQuarantine)
    return false;
  if (HasOtherSuspect(deaths))
    return now < deaths.back()->began + kAmbiguousQuarantinePeriod;
  // The others have been answered since.
  Refuse(request, now);
  return true;
}

void Quarantine::NoteAnswer(const base::EndpointName& endpoint,
                            base::TimePoint attempt_began,
                            base::TimePoint now) {
  // When a peer saw it die is not known, so that no answer speaks against it.
  const auto was_no_death = [&](const Death& death) {
    if (death.source == Source::kPeer || death.endpoint != endpoint)
      return false;
    if (now < death.began + kLateAnswerWindow)
      return false;
    return attempt_began < death.began || now < death.began + kMinRestartTime;
  };
  std::set<std::string> cleared;
  for (const Death& death : deaths_) {
    if (was_no_death(death))
      cleared.insert(death.suspects.begin(), death.suspects.end());
  }
  std::erase_if(deaths_, was_no_death);
  for (const std::string& request : cleared) {
    if (DeathsWith(request).size() < kCrashesToQuarantine)
      refusals_.erase(request);
  }
}

void Quarantine::Clear(const std::string& request) {
  for (Death& death : deaths_)
    death.suspects.erase(request);
}

void Quarantine::Advance(base::TimePoint now) {
  advanced_ = now;
  while (!deaths_.empty() && deaths_.front().began + kQuarantinePeriod <= now)
    deaths_.pop_front();
  std::erase_if(refusals_,
                [now](const auto& it) { return it.second.until <= now; });
}

std::vector<CrashSuspicion> Quarantine::SuspicionsToGossip() const {
  std::vector<CrashSuspicion> told;
  for (auto it = deaths_.rbegin(); it != deaths_.rend(); ++it) {
    if (it->source != Source::kOwn || it->began + kGossipPeriod < advanced_)
      continue;
    for (const std::string& request : it->suspects) {
      if (told.size() < kMaxGossipedItems)
        told.push_back({request, it->endpoint});
    }
  }
  return told;
}

std::vector<std::string> Quarantine::QuarantinedToGossip() const {
  std::vector<std::string> told;
  for (const auto& [request, refusal] : refusals_) {
    const bool is_new = advanced_ <= refusal.began + kGossipPeriod;
    if (is_new && told.size() < kMaxGossipedItems)
      told.push_back(request);
  }
  return told;
}

}  // namespace bilberry::policy
