#include "LibPolicy/quarantine.h"

#include <algorithm>
#include <utility>

namespace bilberry::policy {

void Quarantine::NoteDisconnect(const std::string& request,
                                const base::EndpointName& endpoint,
                                base::TimePoint now,
                                CrashedName kind) {
  NoteOwnSuspicion({request, endpoint, base::Duration(0), kind}, now);
}

void Quarantine::NoteOwnSuspicion(const CrashSuspicion& suspicion,
                                  base::TimePoint now) {
  Add(suspicion, Source::kOwn, now);
}

void Quarantine::NotePeerSuspicion(const CrashSuspicion& suspicion,
                                   base::TimePoint now) {
  Add(suspicion, Source::kPeer, now);
}

void Quarantine::Add(const CrashSuspicion& suspicion,
                     Source source,
                     base::TimePoint now) {
  Crash& crash = FindOrAddCrash(suspicion, source, now);
  if (source == Source::kPeer)
    crash.last_reported = now;
  const auto answered = answered_parts_.LastOf(suspicion.request);
  if (answered && *answered > crash.began)
    return;
  AddSuspect(crash, suspicion.request, suspicion.depth);
  if (suspicion.depth == kWholeRequest)
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
                      {},
                      {}});
  return crashes_.back();
}

void Quarantine::AddSuspect(Crash& crash,
                            const std::string& request,
                            uint32_t depth) {
  if (crash.suspects.size() == kMaxSuspectsPerCrash ||
      !crash.suspects.insert(request).second)
    return;
  SuspectState& state = suspects_[request];
  ++state.crash_count;
  state.depth = depth;
}

bool Quarantine::EraseSuspect(Crash& crash, const std::string& request) {
  if (crash.suspects.erase(request) == 0)
    return false;
  const auto state = suspects_.find(request);
  if (--state->second.crash_count == 0)
    suspects_.erase(state);
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
  if (!suspects_.contains(request))
    return found;
  for (const Crash& crash : crashes_) {
    if (crash.cause.empty() && crash.suspects.contains(request))
      found.push_back(&crash);
  }
  return found;
}

bool Quarantine::HasOtherSuspect(
    const std::vector<const Crash*>& crashes) const {
  const auto& first = crashes.front()->suspects;
  const auto is_request_in_all = [&](const std::string& suspect) {
    return !IsPart(suspect) &&
           std::ranges::all_of(crashes, [&](const Crash* crash) {
             return crash->suspects.contains(suspect);
           });
  };
  return std::ranges::count_if(first, is_request_in_all) > 1;
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

bool Quarantine::IsPart(const std::string& suspect) const {
  const auto it = suspects_.find(suspect);
  return it != suspects_.end() && it->second.depth != kWholeRequest;
}

bool Quarantine::NotePartAnswered(const std::string& part, base::TimePoint at) {
  answered_parts_.Note(part, at);
  if (!suspects_.contains(part))
    return false;
  bool was_suspect = false;
  for (Crash& crash : crashes_) {
    if (crash.began >= at || !EraseSuspect(crash, part))
      continue;
    was_suspect = true;
    if (crash.cause == part)
      crash.cause.clear();
  }
  if (was_suspect)
    quarantined_.erase(part);
  return was_suspect;
}

std::optional<base::TimePoint> Quarantine::PartRefusedUntil(
    const std::string& part,
    base::TimePoint now) const {
  const auto it = quarantined_.find(part);
  if (it == quarantined_.end() || it->second.until <= now)
    return std::nullopt;
  return it->second.until;
}

bool Quarantine::HasRefusedRequest(const Crash& crash) const {
  return std::ranges::any_of(crash.suspects, [this](const std::string& it) {
    return quarantined_.contains(it) && !IsPart(it);
  });
}

std::vector<Quarantine::Candidate> Quarantine::PartCandidates() {
  std::map<std::string, Candidate> by_part;
  for (Crash& crash : crashes_) {
    if (!crash.cause.empty() || HasRefusedRequest(crash))
      continue;
    for (const std::string& it : crash.suspects) {
      const SuspectState& state = suspects_.at(it);
      const bool is_possible =
          state.crash_count >= kCrashesOfPart || quarantined_.contains(it);
      if (state.depth == kWholeRequest || !is_possible)
        continue;
      Candidate& candidate = by_part[it];
      candidate.part = it;
      candidate.depth = state.depth;
      candidate.crashes.push_back(&crash);
    }
  }
  std::vector<Candidate> candidates;
  for (auto& [part, candidate] : by_part) {
    std::ranges::sort(candidate.crashes, {}, &Crash::began);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool Quarantine::HasDeeperSuspect(const Candidate& candidate) const {
  const auto is_deeper_in_all = [&](const std::string& suspect) {
    return suspects_.at(suspect).depth > candidate.depth &&
           std::ranges::all_of(candidate.crashes, [&](const Crash* crash) {
             return crash->suspects.contains(suspect);
           });
  };
  return std::ranges::any_of(candidate.crashes.front()->suspects,
                             is_deeper_in_all);
}

bool Quarantine::IsCause(const Candidate& candidate) const {
  if (HasDeeperSuspect(candidate))
    return false;
  if (quarantined_.contains(candidate.part))
    return true;
  size_t moments = 0;
  base::TimePoint last;
  for (const Crash* crash : candidate.crashes) {
    if (moments > 0 && crash->began < last + kSameMoment)
      continue;
    ++moments;
    last = crash->began;
  }
  return moments >= (answered_parts_.LastOf(candidate.part)
                         ? kCrashesOfAnsweredPart
                         : kCrashesOfPart);
}

// The causes are found anew, since later crashes may show another cause of
// earlier ones. The part with most crashes comes first, of several the one that
// fewest requests share.
std::vector<std::string> Quarantine::JudgeParts(base::TimePoint now) {
  for (Crash& crash : crashes_)
    crash.cause.clear();
  std::vector<std::string> refused;
  for (;;) {
    std::vector<Candidate> causes = PartCandidates();
    std::erase_if(causes, [this](const Candidate& it) { return !IsCause(it); });
    if (causes.empty())
      break;
    const Candidate& cause =
        *std::ranges::max_element(causes, {}, [](const Candidate& it) {
          return std::pair(it.crashes.size(), it.depth);
        });
    for (Crash* crash : cause.crashes)
      crash->cause = cause.part;
    if (PartRefusedUntil(cause.part, now))
      continue;
    BeginQuarantine(cause.part, now);
    refused.push_back(cause.part);
  }
  ReleaseExplained();
  return refused;
}

void Quarantine::ReleaseExplained() {
  std::erase_if(quarantined_, [this](const auto& it) {
    const std::string& part = it.first;
    if (!IsPart(part))
      return false;
    return std::ranges::all_of(crashes_, [&part](const Crash& crash) {
      return !crash.suspects.contains(part) ||
             (!crash.cause.empty() && crash.cause != part);
    });
  });
}

size_t Quarantine::CrashCountOf(const std::string& request) const {
  const auto it = suspects_.find(request);
  return it == suspects_.end() ? 0 : it->second.crash_count;
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
        result.push_back({request, it->endpoint, last_advance_ - it->began,
                          it->kind, suspects_.at(request).depth});
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
      const bool is_told = is_recent || CrashCountOf(request) >= min_crashes;
      if (is_told && (it->cause.empty() || it->cause == request))
        result.push_back({request, it->endpoint, now - it->began, it->kind,
                          suspects_.at(request).depth});
    }
  }
  return result;
}

}  // namespace bilberry::policy
